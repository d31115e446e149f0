package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var validDocument = `{
	"tiers": {"kiln": {"rank": 0, "first_token_ms": 500, "deadline_ms": 20000}},
	"generations": {"g1": {"prefill_tokens_per_second": 4000, "step_ms": 20, "step_ms_per_sequence": 0.4}},
	"services": {
		"report": {"kind": "model", "model": "m", "tier": "kiln"},
		"desk": {"kind": "plain", "tier": "kiln", "operations": {"confirm": {"non_idempotent": true}}}},
	"targets": {
		"e1": {"address": "10.0.0.1:80", "failure_domain": "a", "generation": "g1", "services": ["report"]},
		"d1": {"address": "10.0.0.2:80", "failure_domain": "a", "services": ["desk"]}},
	"customers": {"museum": {"share": 1, "key_sha256": {"now": "` + hashA + `"}}},
	"operators": {"ops": {"key_sha256": {"now": "` + hashB + `"}}}
}`

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

func mustParse(text string) *config.Document {
	doc, err := config.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return doc
}

// customerMembers returns the JSON text of n customers as members of an object.
func customerMembers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf(`"customer-%04d-%s":{"share":1}`, i, strings.Repeat("x", 45)))
	}
	return out
}

func logRecord(at ports.Offset, r config.LogRecord) ports.Record {
	data, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	return ports.Record{Offset: at, Time: time.Unix(int64(at), 0), Data: data}
}

func newPatch(base config.Version, merge string) config.Patch {
	return config.Patch{ID: uuid.NewString(), Base: base, Merge: json.RawMessage(merge)}
}

var _ = Describe("Validate", func() {
	It("accepts a complete document and an empty one", func() {
		Expect(config.Validate(mustParse(validDocument))).To(Succeed())
		Expect(config.Validate(&config.Document{})).To(Succeed())
	})
	DescribeTable("returns the path and the reason", func(merge, path, reason string) {
		_, err := config.ApplyMerge(mustParse(validDocument), json.RawMessage(merge))
		Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig))
		Expect(errkind.DetailOf(err)).To(HavePrefix(path + ": "))
		Expect(errkind.DetailOf(err)).To(ContainSubstring(reason))
	},
		Entry("unknown tier of a service", `{"services":{"report":{"tier":"none"}}}`, "services.report.tier", `"none" does not exist`),
		Entry("removed tier", `{"tiers":{"kiln":null}}`, "services.desk.tier", `"kiln" does not exist`),
		Entry("unknown kind", `{"services":{"report":{"kind":"other"}}}`, "services.report.kind", `"other" is neither`),
		Entry("missing model", `{"services":{"report":{"model":null}}}`, "services.report.model", "names no model"),
		Entry("operations of a model service", `{"services":{"report":{"operations":{"a":{}}}}}`, "services.report.operations", "no operations"),
		Entry("plain service without operations", `{"services":{"desk":{"operations":null}}}`, "services.desk.operations", "names no operation"),
		Entry("host name as address", `{"targets":{"e1":{"address":"engine:80"}}}`, "targets.e1.address", "not an IP number"),
		Entry("shared address", `{"targets":{"e1":{"address":"10.0.0.2:80"}}}`, "targets.e1.address", `target "d1"`),
		Entry("port 0", `{"targets":{"e1":{"address":"10.0.0.2:0"}}}`, "targets.e1.address", "port 0"),
		Entry("empty failure domain", `{"targets":{"e1":{"failure_domain":""}}}`, "targets.e1.failure_domain", "empty"),
		Entry("unknown generation", `{"targets":{"e1":{"generation":"g2"}}}`, "targets.e1.generation", `"g2" does not exist`),
		Entry("model and plain services at one target", `{"targets":{"e1":{"services":["report","desk"]}}}`, "targets.e1.services", "either"),
		Entry("unknown service", `{"targets":{"e1":{"services":["x"]}}}`, "targets.e1.services[0]", `"x" does not exist`),
		Entry("repeated service", `{"targets":{"e1":{"services":["report","report"]}}}`, "targets.e1.services[1]", "twice"),
		Entry("minimum window above the maximum", `{"targets":{"e1":{"window_min":5,"window_max":4}}}`, "targets.e1.window_min", "5 exceeds"),
		Entry("unknown role", `{"targets":{"e1":{"role":"x"}}}`, "targets.e1.role", `"x" is none`),
		Entry("zero share", `{"customers":{"museum":{"share":0}}}`, "customers.museum.share", "0 is not positive"),
		Entry("malformed key hash", `{"customers":{"museum":{"key_sha256":{"now":"AB"}}}}`, "customers.museum.key_sha256.now", `"AB"`),
		Entry("key of two owners", `{"operators":{"ops":{"key_sha256":{"now":"`+hashA+`"}}}}`, "operators.ops.key_sha256.now", "customers.museum"),
		Entry("shared rank", `{"tiers":{"b":{"rank":0,"first_token_ms":1,"deadline_ms":1}}}`, "tiers.kiln.rank", `tier "b"`),
		Entry("deadline before the first-token deadline", `{"tiers":{"kiln":{"deadline_ms":100}}}`, "tiers.kiln.first_token_ms", "500"),
		Entry("name with a slash", `{"tiers":{"a/b":{"rank":3,"first_token_ms":1,"deadline_ms":1}}}`, "tiers.a/b", "slash"),
		Entry("zero step time of a generation", `{"generations":{"g1":{"step_ms":0}}}`, "generations.g1.step_ms", "0 is not positive"),
		Entry("negative limit", `{"limits":{"weight_loads_at_once":-1}}`, "limits.weight_loads_at_once", "-1"),
	)
	It("rejects unknown fields, trailing data and wrong types", func() {
		for _, text := range []string{`{"tier":{}}`, `{} {}`, `[]`, `{"tiers":{"a":{"rnk":1}}}`, `{"limits":{"max_queued_per_target":"1"}}`, ``} {
			_, err := config.Parse([]byte(text))
			Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig), text)
		}
	})
})

var _ = Describe("Patch", func() {
	It("does not modify the document that it is applied to", func() {
		doc := mustParse(validDocument)
		next, err := config.ApplyMerge(doc, json.RawMessage(`{"targets":{"d1":null,"e1":{"drained":true}}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Targets).To(HaveLen(1))
		Expect(next.Targets["e1"].Drained).To(BeTrue())
		Expect(next.Targets["e1"].Address).To(Equal("10.0.0.1:80"))
		Expect(doc).To(Equal(mustParse(validDocument)))
	})
	DescribeTable("is rejected before it is published", func(p config.Patch) {
		Expect(errkind.Of(p.Check())).To(Equal(errkind.MalformedRequest))
	},
		Entry("without an ID", config.Patch{Merge: json.RawMessage(`{}`)}),
		Entry("with an array", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`[]`)}),
		Entry("with truncated JSON", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"a":`)}),
		Entry("with null", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`null`)}),
		Entry("with a long operator name", config.Patch{ID: uuid.NewString(), Operator: strings.Repeat("o", 200), Merge: json.RawMessage(`{}`)}),
		Entry("with a large merge patch", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"a":"` + strings.Repeat("x", config.MaxPatchBytes) + `"}`)}),
	)
})

var _ = Describe("Fold", func() {
	It("decides each patch ID once, even if its base becomes the current version later", func() {
		early := newPatch(1, `{"limits":{"max_queued_per_target":9}}`)
		s, step := config.EmptyState().Apply(logRecord(0, config.LogRecord{Patch: &early}))
		Expect(step.Result.Kind).To(Equal(errkind.VersionConflict))
		first := newPatch(0, validDocument)
		s, step = s.Apply(logRecord(1, config.LogRecord{Patch: &first}))
		Expect(step.Result.Accepted).To(BeTrue())
		s, step = s.Apply(logRecord(2, config.LogRecord{Patch: &early}))
		Expect(step.Duplicate).To(BeTrue())
		Expect(step.Result.Accepted).To(BeFalse())
		Expect(s.Version).To(BeEquivalentTo(1))
		Expect(s.Document.Limits.MaxQueuedPerTarget).To(BeZero())
	})
	It("keeps a snapshot with a large document and the longest decisions below 1 MiB", func() {
		s := config.EmptyState()
		for i := range ports.Offset(600) {
			bad := newPatch(0, `{"targets":{"x":{"address":"`+strings.Repeat("é", 5000)+`"}}}`)
			bad.Operator = strings.Repeat("o", 128)
			next, step := s.Apply(logRecord(i, config.LogRecord{Patch: &bad}))
			Expect(step.Result.Kind).To(Equal(errkind.InvalidConfig))
			s = next
		}
		big := fmt.Sprintf(`{"tiers":{"t":{"rank":0,"first_token_ms":1,"deadline_ms":1}},"customers":{%s}}`, strings.Join(customerMembers(10000), ","))
		last := newPatch(0, big)
		s, step := s.Apply(logRecord(600, config.LogRecord{Patch: &last}))
		Expect(step.Result.Accepted).To(BeTrue())
		Expect(len(s.Canonical())).To(BeNumerically(">", config.MaxDocumentBytes*9/10))
		snap := s.Snapshot()
		Expect(len(logRecord(0, config.LogRecord{Snapshot: &snap}).Data)).To(BeNumerically("<", 1<<20))
	})
	It("ignores malformed records and snapshots that contradict the state", func() {
		first := newPatch(0, validDocument)
		s, _ := config.EmptyState().Apply(logRecord(0, config.LogRecord{Patch: &first}))
		wrong := s.Snapshot()
		wrong.Digest++
		ahead := s.Snapshot()
		ahead.Version = 9
		damaged := ahead
		damaged.Recovery = true
		damaged.Digest++
		for i, rec := range []ports.Record{
			{Offset: 1, Data: []byte(`{"patch`)}, {Offset: 1, Data: []byte(`{}`)},
			logRecord(1, config.LogRecord{Snapshot: &wrong}), logRecord(1, config.LogRecord{Snapshot: &ahead}),
			logRecord(1, config.LogRecord{Snapshot: &damaged}),
		} {
			next, step := s.Apply(rec)
			Expect(step.Err).To(HaveOccurred(), "record %d", i)
			Expect(next.Digest).To(Equal(s.Digest))
			Expect(next.Version).To(Equal(s.Version))
			Expect(next.Next).To(BeEquivalentTo(2))
		}
	})
	It("does not start from a snapshot that is followed by missing records, conflicts with another or has a wrong digest", func() {
		first := newPatch(0, validDocument)
		s, _ := config.EmptyState().Apply(logRecord(0, config.LogRecord{Patch: &first}))
		snap := s.Snapshot()
		start := func(first ports.Offset, snaps ...config.Snapshot) bool {
			scan := config.NewScan(first)
			for i, snap := range snaps {
				scan.Add([]ports.Record{logRecord(first+ports.Offset(i), config.LogRecord{Snapshot: &snap})})
			}
			_, ok := scan.StartState()
			return ok
		}
		Expect(start(1, snap)).To(BeTrue())
		Expect(start(5, snap)).To(BeFalse(), "records 1 to 4 are missing")
		wrong := snap
		wrong.Digest++
		Expect(start(1, wrong)).To(BeFalse())
		other, _ := config.Restore(snap)
		change := newPatch(1, `{"limits":{"max_queued_per_target":9}}`)
		other, _ = other.Decide(change)
		conflicting := other.Snapshot()
		conflicting.Version = snap.Version
		Expect(start(1, snap, conflicting)).To(BeFalse())
		Expect(start(1)).To(BeFalse())
		Expect(start(0)).To(BeTrue())
	})
})
