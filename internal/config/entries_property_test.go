package config_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Parts of random patches: names and values that match the schema, that violate
// it, and that JSON libraries treat specially.
var (
	patchSections = []string{
		"tiers", "services", "targets", "customers", "generations", "operators", "targets", "customers",
		"limits", "Targets", "none", "",
	}
	patchNames = []string{
		"kiln", "report", "desk", "e1", "d1", "museum", "ops", "g1", "new", "new", "a b", "", `\ud800`, "<&>", "\u017f",
	}
	patchFields = []string{
		"rank", "share", "drained", "Drained", "services", "address", "failure_domain", "generation", "tier",
		"key_sha256", "model", "kind", "operations", "window_min", "max_body_bytes", "tiers", "unknown", "deadline_ms", "first_token_ms",
	}
	patchValues = []string{
		"null", "1", "2", "0", "-1", "1.5", "1e3", "1e400", `""`, `"kiln"`, `"report"`, `"g1"`, `"10.0.0.9:80"`, `"10.0.0.1:80"`,
		"true", "false", "[]", `["report"]`, `["desk"]`, `["report",null]`, `[{"a":null}]`, "{}", `{"now":null}`,
		`{"now":"` + hashA + `"}`, `{"new":"` + hashB + `"}`, `{"x":{"non_idempotent":true}}`, `{"a":{"b":null}}`, "{",
	}
	patchEntries = []string{
		"null", "1", "[]", " null ", "{}", `{"share":2}`, `{"share":1,"tiers":null}`,
		`{"address":"10.0.0.9:80","failure_domain":"b","services":["desk"]}`,
		`{"address":"10.0.0.8:80","failure_domain":"b","services":null}`,
		`{"kind":"plain","tier":"kiln","operations":{"look":{},"confirm":null}}`,
	}
)

// drawObject returns the JSON text of an object, which may have duplicate names.
func drawObject(t *rapid.T, names []string, maxMembers int, value func() string) string {
	var out []string
	for range rapid.IntRange(0, maxMembers).Draw(t, "members") {
		name := rapid.SampledFrom(names).Draw(t, "name")
		out = append(out, `"`+name+`":`+value())
	}
	return "{" + strings.Join(out, ",") + "}"
}

func drawMerge(t *rapid.T) string {
	fields := func() string {
		return drawObject(t, patchFields, 3, func() string { return rapid.SampledFrom(patchValues).Draw(t, "value") })
	}
	entry := func() string {
		if rapid.Bool().Draw(t, "fields") {
			return fields()
		}
		return rapid.SampledFrom(patchEntries).Draw(t, "entry")
	}
	section := func() string {
		if rapid.IntRange(0, 9).Draw(t, "malformed section") == 0 {
			return rapid.SampledFrom(patchValues).Draw(t, "section")
		}
		return drawObject(t, patchNames, 3, entry)
	}
	return drawObject(t, patchSections, 2, section)
}

var _ = Describe("A patch of single entries", func() {
	It("gets the same decision and document as when it is applied to the whole document", func() {
		accepted := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			state, _ := config.EmptyState().Decide(newPatch(0, validDocument))
			for range rapid.IntRange(1, 4).Draw(t, "patches") {
				merge := json.RawMessage(drawMerge(t))
				before := string(state.Canonical())
				wholeDoc, err := config.ApplyMerge(state.Document, merge)
				next, result := state.Decide(newPatch(state.Version, string(merge)))
				g.Expect(string(state.Canonical())).To(Equal(before))
				g.Expect(result.Accepted).To(Equal(err == nil), "%s: %v", merge, err)
				if err != nil {
					g.Expect(result.Kind).To(Equal(errkind.Of(err)))
					continue
				}
				text, err := config.Canonical(wholeDoc)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(next.Canonical())).To(Equal(string(text)), "%s", merge)
				g.Expect(next.Digest).To(Equal(config.Digest(text)))
				documentText, err := config.Canonical(next.Document)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(documentText)).To(Equal(string(text)))
				state = next
				accepted++
			}
		})
		Expect(accepted).To(BeNumerically(">", 50))
	})
})
