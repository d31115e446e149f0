package harness

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "harness")
}

// newCompleteCall returns a call with its complete answer and the run that
// produced it.
func newCompleteCall(name, key string, id tables.RequestID) (*Call, Run) {
	q := Request{Name: name, Service: ModelService, Body: "prompt " + name, MaxTokens: 4, Key: key}
	run := Run{Targets: []tables.TargetID{"e1"}, Dispatches: 1, Runs: 1, Content: q.Body, MaxTokens: 4, Started: time.Now()}
	text := engine.ExpectedAnswer(id, q.Body, 4)
	return &Call{Request: q, result: Result{ID: id, Text: text, Tokens: 4, Complete: true}}, run
}

// setRefusal replaces the result of c with a refusal of the given kind.
func setRefusal(c *Call, kind errkind.Kind) {
	c.result = Result{ID: c.result.ID, Kind: kind, Ran: kind.Answer().Ran}
}

var _ = Describe("audit", func() {
	type fixture struct {
		calls []*Call
		runs  map[tables.RequestID]Run
	}
	build := func() fixture {
		a, runA := newCompleteCall("a", "key-a", "h1.a")
		b, runB := newCompleteCall("b", "", "h2.b")
		resent := &Call{Request: a.Request, result: a.result}
		return fixture{[]*Call{a, b, resent}, map[tables.RequestID]Run{"h1.a": runA, "h2.b": runB}}
	}
	violated := func(f fixture) []string {
		var out []string
		for _, v := range auditCalls(f.calls, f.runs) {
			out = append(out, v.Guarantee)
		}
		return out
	}

	It("reports no violation when every guarantee holds", func() {
		Expect(violated(build())).To(BeEmpty())
	})

	It("allows a second engine after one refused because the model was not loaded", func() {
		f := build()
		run := f.runs["h2.b"]
		run.Dispatches, run.Refused, run.NotLoaded, run.LastNotLoaded = 2, 1, 1, run.Started.Add(-time.Second)
		f.runs["h2.b"] = run
		Expect(violated(f)).To(BeEmpty())
	})

	DescribeTable("reports each violated guarantee", func(corrupt func(f fixture), guarantee string) {
		f := build()
		corrupt(f)
		Expect(violated(f)).To(ContainElement(guarantee))
	},
		Entry("a second dispatch", func(f fixture) {
			run := f.runs["h2.b"]
			run.Dispatches, run.Refused = 2, 1
			f.runs["h2.b"] = run
		}, GuaranteeOneDispatch),
		Entry("a second dispatch, after the run, to an engine without the model", func(f fixture) {
			run := f.runs["h2.b"]
			run.Dispatches, run.Refused, run.NotLoaded, run.LastNotLoaded = 2, 1, 1, run.Started.Add(time.Second)
			f.runs["h2.b"] = run
		}, GuaranteeOneDispatch),
		Entry("a second run of a key under another ID", func(f fixture) {
			f.runs["h3.c"] = f.runs["h1.a"]
		}, GuaranteeOneRun),
		Entry("a second run of an unkeyed request under another ID", func(f fixture) {
			f.runs["h3.c"] = f.runs["h2.b"]
		}, GuaranteeNotRun),
		Entry("not_run for a request that ran", func(f fixture) {
			setRefusal(f.calls[1], errkind.Overloaded)
		}, GuaranteeNotRun),
		Entry("not_run without a request ID for a request that ran", func(f fixture) {
			setRefusal(f.calls[1], errkind.Overloaded)
			f.calls[1].result.ID = ""
		}, GuaranteeNotRun),
		Entry("ran_failed for a request that never ran", func(f fixture) {
			setRefusal(f.calls[1], errkind.RanFailed)
			delete(f.runs, "h2.b")
		}, GuaranteeRan),
		Entry("a truncated answer reported as complete", func(f fixture) {
			f.calls[1].result.Text = f.calls[1].result.Text[:5]
		}, GuaranteeCorrectAnswer),
		Entry("an empty answer reported as complete", func(f fixture) {
			f.calls[1].result.Text = ""
			delete(f.runs, "h2.b")
		}, GuaranteeCorrectAnswer),
		Entry("another request's answer", func(f fixture) {
			f.calls[1].result.Text = f.calls[0].result.Text
		}, GuaranteeCorrectAnswer),
		Entry("another request's tokens in an incomplete answer", func(f fixture) {
			f.calls[1].result.Complete = false
			f.calls[1].result.Text = f.calls[0].result.Text[:10]
		}, GuaranteeCorrectAnswer),
		Entry("a response with another request's ID", func(f fixture) {
			f.calls[1].result.ID = "h1.a"
		}, GuaranteeCorrectAnswer),
	)
})
