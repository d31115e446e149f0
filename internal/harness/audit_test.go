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

// good returns a call with its whole answer and the run of it.
func good(name, key string, id tables.RequestID) (*Call, Run) {
	q := Request{Name: name, Service: ModelService, Body: "prompt " + name, MaxTokens: 4, Key: key}
	run := Run{Targets: []tables.TargetID{"e1"}, Dispatches: 1, Runs: 1, Content: q.Body, MaxTokens: 4, Started: time.Now()}
	text := engine.ExpectedAnswer(id, q.Body, 4)
	return &Call{Request: q, result: Result{ID: id, Text: text, Tokens: 4, Whole: true}}, run
}

// refuse makes the caller's view of c a refusal of kind.
func refuse(c *Call, kind errkind.Kind) {
	c.result = Result{ID: c.result.ID, Kind: kind, Ran: kind.Answer().Ran}
}

var _ = Describe("audit", func() {
	type world struct {
		calls []*Call
		runs  map[tables.RequestID]Run
	}
	build := func() world {
		a, runA := good("a", "key-a", "h1.a")
		b, runB := good("b", "", "h2.b")
		again := &Call{Request: a.Request, result: a.result}
		return world{[]*Call{a, b, again}, map[tables.RequestID]Run{"h1.a": runA, "h2.b": runB}}
	}
	promises := func(w world) []string {
		var out []string
		for _, v := range auditCalls(w.calls, w.runs) {
			out = append(out, v.Promise)
		}
		return out
	}

	It("finds nothing when every promise holds", func() {
		Expect(promises(build())).To(BeEmpty())
	})

	It("allows another engine after one that did not hold the model", func() {
		w := build()
		run := w.runs["h2.b"]
		run.Dispatches, run.Refused, run.NotLoaded, run.LastNotLoaded = 2, 1, 1, run.Started.Add(-time.Second)
		w.runs["h2.b"] = run
		Expect(promises(w)).To(BeEmpty())
	})

	DescribeTable("catches each broken promise", func(damage func(w world), promise string) {
		w := build()
		damage(w)
		Expect(promises(w)).To(ContainElement(promise))
	},
		Entry("a second dispatch", func(w world) {
			run := w.runs["h2.b"]
			run.Dispatches, run.Refused = 2, 1
			w.runs["h2.b"] = run
		}, PromiseOneDispatch),
		Entry("a second dispatch after the run to an engine without the model", func(w world) {
			run := w.runs["h2.b"]
			run.Dispatches, run.Refused, run.NotLoaded, run.LastNotLoaded = 2, 1, 1, run.Started.Add(time.Second)
			w.runs["h2.b"] = run
		}, PromiseOneDispatch),
		Entry("a second run of a key under another ID", func(w world) {
			w.runs["h3.c"] = w.runs["h1.a"]
		}, PromiseOneRun),
		Entry("a second run of an unkeyed request under another ID", func(w world) {
			w.runs["h3.c"] = w.runs["h2.b"]
		}, PromiseNotRun),
		Entry("not_run of a request that ran", func(w world) {
			refuse(w.calls[1], errkind.Overloaded)
		}, PromiseNotRun),
		Entry("not_run without an ID of a request that ran", func(w world) {
			refuse(w.calls[1], errkind.Overloaded)
			w.calls[1].result.ID = ""
		}, PromiseNotRun),
		Entry("ran of a request that never ran", func(w world) {
			refuse(w.calls[1], errkind.RanFailed)
			delete(w.runs, "h2.b")
		}, PromiseRan),
		Entry("an answer cut short as a whole one", func(w world) {
			w.calls[1].result.Text = w.calls[1].result.Text[:5]
		}, PromiseOwnAnswer),
		Entry("an empty answer as a whole one", func(w world) {
			w.calls[1].result.Text = ""
			delete(w.runs, "h2.b")
		}, PromiseOwnAnswer),
		Entry("another request's answer", func(w world) {
			w.calls[1].result.Text = w.calls[0].result.Text
		}, PromiseOwnAnswer),
		Entry("another request's tokens in a broken answer", func(w world) {
			w.calls[1].result.Whole = false
			w.calls[1].result.Text = w.calls[0].result.Text[:10]
		}, PromiseOwnAnswer),
		Entry("another request's run under the ID", func(w world) {
			w.calls[1].result.ID = "h1.a"
		}, PromiseOwnAnswer),
	)
})
