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

var workshop = `{
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

func parsed(text string) *config.Document {
	doc, err := config.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return doc
}

// customers returns n members of a JSON object.
func customers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf(`"customer-%04d-%s":{"share":1}`, i, strings.Repeat("x", 45)))
	}
	return out
}

func record(at ports.Offset, r config.LogRecord) ports.Record {
	data, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	return ports.Record{Offset: at, Time: time.Unix(int64(at), 0), Data: data}
}

func patch(base config.Version, merge string) config.Patch {
	return config.Patch{ID: uuid.NewString(), Base: base, Merge: json.RawMessage(merge)}
}

var _ = Describe("Validate", func() {
	It("accepts a whole document", func() {
		Expect(config.Validate(parsed(workshop))).To(Succeed())
		Expect(config.Validate(&config.Document{})).To(Succeed())
	})
	DescribeTable("names the path and the reason", func(merge, path, reason string) {
		_, err := config.Apply(parsed(workshop), json.RawMessage(merge))
		Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig))
		Expect(errkind.DetailOf(err)).To(HavePrefix(path + ": "))
		Expect(errkind.DetailOf(err)).To(ContainSubstring(reason))
	},
		Entry("tier of a service", `{"services":{"report":{"tier":"none"}}}`, "services.report.tier", `"none" does not exist`),
		Entry("removed tier", `{"tiers":{"kiln":null}}`, "services.desk.tier", `"kiln" does not exist`),
		Entry("kind", `{"services":{"report":{"kind":"other"}}}`, "services.report.kind", `"other" is neither`),
		Entry("model", `{"services":{"report":{"model":null}}}`, "services.report.model", "names no model"),
		Entry("operations of a model", `{"services":{"report":{"operations":{"a":{}}}}}`, "services.report.operations", "no operations"),
		Entry("operations of a plain service", `{"services":{"desk":{"operations":null}}}`, "services.desk.operations", "names no operation"),
		Entry("host name for an address", `{"targets":{"e1":{"address":"engine:80"}}}`, "targets.e1.address", "not an IP number"),
		Entry("shared address", `{"targets":{"e1":{"address":"10.0.0.2:80"}}}`, "targets.e1.address", `target "d1"`),
		Entry("port 0", `{"targets":{"e1":{"address":"10.0.0.2:0"}}}`, "targets.e1.address", "port 0"),
		Entry("failure domain", `{"targets":{"e1":{"failure_domain":""}}}`, "targets.e1.failure_domain", "empty"),
		Entry("generation", `{"targets":{"e1":{"generation":"g2"}}}`, "targets.e1.generation", `"g2" does not exist`),
		Entry("mixed services", `{"targets":{"e1":{"services":["report","desk"]}}}`, "targets.e1.services", "either"),
		Entry("missing service", `{"targets":{"e1":{"services":["x"]}}}`, "targets.e1.services[0]", `"x" does not exist`),
		Entry("repeated service", `{"targets":{"e1":{"services":["report","report"]}}}`, "targets.e1.services[1]", "twice"),
		Entry("window", `{"targets":{"e1":{"window_min":5,"window_max":4}}}`, "targets.e1.window_min", "5 exceeds"),
		Entry("role", `{"targets":{"e1":{"role":"x"}}}`, "targets.e1.role", `"x" is none`),
		Entry("share", `{"customers":{"museum":{"share":0}}}`, "customers.museum.share", "0 is not positive"),
		Entry("key", `{"customers":{"museum":{"key_sha256":{"now":"AB"}}}}`, "customers.museum.key_sha256.now", `"AB"`),
		Entry("shared key", `{"operators":{"ops":{"key_sha256":{"now":"`+hashA+`"}}}}`, "operators.ops.key_sha256.now", "customers.museum"),
		Entry("rank", `{"tiers":{"b":{"rank":0,"first_token_ms":1,"deadline_ms":1}}}`, "tiers.kiln.rank", `tier "b"`),
		Entry("deadline", `{"tiers":{"kiln":{"deadline_ms":100}}}`, "tiers.kiln.first_token_ms", "500"),
		Entry("name", `{"tiers":{"a/b":{"rank":3,"first_token_ms":1,"deadline_ms":1}}}`, "tiers.a/b", "slash"),
		Entry("generation speed", `{"generations":{"g1":{"step_ms":0}}}`, "generations.g1.step_ms", "0 is not positive"),
		Entry("limits", `{"limits":{"weight_loads_at_once":-1}}`, "limits.weight_loads_at_once", "-1"),
	)
	It("refuses unknown fields, trailing data and other types", func() {
		for _, text := range []string{`{"tier":{}}`, `{} {}`, `[]`, `{"tiers":{"a":{"rnk":1}}}`, `{"limits":{"max_queued_per_target":"1"}}`, ``} {
			_, err := config.Parse([]byte(text))
			Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig), text)
		}
	})
})

var _ = Describe("Patch", func() {
	It("leaves the document that it is applied to as it is", func() {
		doc := parsed(workshop)
		next, err := config.Apply(doc, json.RawMessage(`{"targets":{"d1":null,"e1":{"drained":true}}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Targets).To(HaveLen(1))
		Expect(next.Targets["e1"].Drained).To(BeTrue())
		Expect(next.Targets["e1"].Address).To(Equal("10.0.0.1:80"))
		Expect(doc).To(Equal(parsed(workshop)))
	})
	DescribeTable("is refused before it is published", func(p config.Patch) {
		Expect(errkind.Of(p.Check())).To(Equal(errkind.MalformedRequest))
	},
		Entry("without an ID", config.Patch{Merge: json.RawMessage(`{}`)}),
		Entry("with an array", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`[]`)}),
		Entry("with a cut text", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"a":`)}),
		Entry("with null", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`null`)}),
		Entry("by a long name", config.Patch{ID: uuid.NewString(), Operator: strings.Repeat("o", 200), Merge: json.RawMessage(`{}`)}),
		Entry("with too much", config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"a":"` + strings.Repeat("x", config.MaxPatchBytes) + `"}`)}),
	)
})

var _ = Describe("Fold", func() {
	It("decides each patch ID once, also one whose base comes true later", func() {
		early := patch(1, `{"limits":{"max_queued_per_target":9}}`)
		s, step := config.Empty().Fold(record(0, config.LogRecord{Patch: &early}))
		Expect(step.Result.Kind).To(Equal(errkind.VersionConflict))
		first := patch(0, workshop)
		s, step = s.Fold(record(1, config.LogRecord{Patch: &first}))
		Expect(step.Result.Accepted).To(BeTrue())
		s, step = s.Fold(record(2, config.LogRecord{Patch: &early}))
		Expect(step.Repeated).To(BeTrue())
		Expect(step.Result.Accepted).To(BeFalse())
		Expect(s.Version).To(BeEquivalentTo(1))
		Expect(s.Document.Limits.MaxQueuedPerTarget).To(BeZero())
	})
	It("keeps a snapshot of the largest document and the longest decisions within 1 MiB", func() {
		s := config.Empty()
		for i := range ports.Offset(600) {
			bad := patch(0, `{"targets":{"x":{"address":"`+strings.Repeat("é", 5000)+`"}}}`)
			bad.Operator = strings.Repeat("o", 128)
			next, step := s.Fold(record(i, config.LogRecord{Patch: &bad}))
			Expect(step.Result.Kind).To(Equal(errkind.InvalidConfig))
			s = next
		}
		big := fmt.Sprintf(`{"tiers":{"t":{"rank":0,"first_token_ms":1,"deadline_ms":1}},"customers":{%s}}`, strings.Join(customers(10000), ","))
		last := patch(0, big)
		s, step := s.Fold(record(600, config.LogRecord{Patch: &last}))
		Expect(step.Result.Accepted).To(BeTrue())
		Expect(len(s.Canonical())).To(BeNumerically(">", config.MaxDocumentBytes*9/10))
		snap := s.Snapshot()
		Expect(len(record(0, config.LogRecord{Snapshot: &snap}).Data)).To(BeNumerically("<", 1<<20))
	})
	It("ignores what it cannot read and snapshots that disagree", func() {
		first := patch(0, workshop)
		s, _ := config.Empty().Fold(record(0, config.LogRecord{Patch: &first}))
		wrong := s.Snapshot()
		wrong.Digest++
		ahead := s.Snapshot()
		ahead.Version = 9
		damaged := ahead
		damaged.Recovery = true
		damaged.Digest++
		for i, rec := range []ports.Record{
			{Offset: 1, Data: []byte(`{"patch`)}, {Offset: 1, Data: []byte(`{}`)},
			record(1, config.LogRecord{Snapshot: &wrong}), record(1, config.LogRecord{Snapshot: &ahead}),
			record(1, config.LogRecord{Snapshot: &damaged}),
		} {
			next, step := s.Fold(rec)
			Expect(step.Err).To(HaveOccurred(), "record %d", i)
			Expect(next.Digest).To(Equal(s.Digest))
			Expect(next.Version).To(Equal(s.Version))
			Expect(next.Next).To(BeEquivalentTo(2))
		}
	})
	It("starts from no snapshot with a gap, with two contents, or with a wrong digest", func() {
		first := patch(0, workshop)
		s, _ := config.Empty().Fold(record(0, config.LogRecord{Patch: &first}))
		snap := s.Snapshot()
		start := func(first ports.Offset, snaps ...config.Snapshot) bool {
			scan := config.NewScan(first)
			for i, one := range snaps {
				scan.Add([]ports.Record{record(first+ports.Offset(i), config.LogRecord{Snapshot: &one})})
			}
			_, ok := scan.Start()
			return ok
		}
		Expect(start(1, snap)).To(BeTrue())
		Expect(start(5, snap)).To(BeFalse(), "records 1 to 4 are missing")
		wrong := snap
		wrong.Digest++
		Expect(start(1, wrong)).To(BeFalse())
		other, _ := config.Restore(snap)
		change := patch(1, `{"limits":{"max_queued_per_target":9}}`)
		other, _ = other.Decide(change)
		two := other.Snapshot()
		two.Version = snap.Version
		Expect(start(1, snap, two)).To(BeFalse())
		Expect(start(1)).To(BeFalse())
		Expect(start(0)).To(BeTrue())
	})
})
