package harness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Run combines the records of all targets for one request ID.
type Run struct {
	Targets    []tables.TargetID
	Dispatches int
	Runs       int
	Refused    int
	// NotLoaded counts the sends that engines refused because the model was not
	// loaded. Such a refusal proves that the request did not run, so it may be
	// sent to another engine. LastNotLoaded is the time of the latest such refusal.
	NotLoaded     int
	LastNotLoaded time.Time
	Content       string
	MaxTokens     int
	// Started and Ended are the start and end times of the run. Ended is zero while
	// the run is in progress. Started is always zero for plain services.
	Started, Ended time.Time
	Progress       target.Progress
}

// Runs returns the combined records of all targets by request ID.
func (h *Harness) Runs() map[tables.RequestID]Run {
	runs := make(map[tables.RequestID]Run)
	for _, t := range h.Targets() {
		if t.Engine != nil {
			addEngineRuns(runs, t.ID, t.Engine.Records())
		} else {
			addPlainRuns(runs, t.ID, t.Plain.Records())
		}
	}
	return runs
}

// InProgress returns the number of requests in progress at targets.
func (h *Harness) InProgress() int {
	total := 0
	for _, run := range h.Runs() {
		if run.Progress == target.InProgress {
			total++
		}
	}
	return total
}

// withCounts returns r with the counts of one target added.
func (r Run) withCounts(targetID tables.TargetID, dispatches, runs, refused int) Run {
	if dispatches > 0 {
		r.Targets = append(r.Targets, targetID)
	}
	r.Dispatches += dispatches
	r.Runs += runs
	r.Refused += refused
	return r
}

func addEngineRuns(runs map[tables.RequestID]Run, targetID tables.TargetID, r engine.Records) {
	for id, rec := range r.Requests {
		run := runs[id].withCounts(targetID, rec.Dispatches, rec.Runs, rec.Refused)
		run.NotLoaded += rec.NotLoaded
		if rec.LastNotLoaded.After(run.LastNotLoaded) {
			run.LastNotLoaded = rec.LastNotLoaded
		}
		if rec.Runs > 0 {
			run.Content = rec.Generation.Prompt
			run.MaxTokens = rec.Generation.MaxTokens
			run.Started, run.Ended, run.Progress = rec.Started, rec.Ended, rec.Progress
		}
		runs[id] = run
	}
}

func addPlainRuns(runs map[tables.RequestID]Run, targetID tables.TargetID, r plain.Records) {
	for id, rec := range r.Calls {
		run := runs[id].withCounts(targetID, rec.Dispatches, rec.Runs, rec.Refused)
		if rec.Runs > 0 {
			run.Content = plainContent(rec.Operation, string(rec.Body))
			run.Ended, run.Progress = rec.Ended, rec.Progress
		}
		runs[id] = run
	}
}

func plainContent(operation, body string) string { return operation + " " + body }

// Content returns the text that identifies the request's content in Run.Content:
// the prompt of a generation, or the operation name and body of an operation.
func (r Request) Content() string {
	if r.Operation != "" {
		return plainContent(r.Operation, r.Body)
	}
	return r.Body
}

// Violation is one violation of a guarantee.
type Violation struct {
	// Guarantee names the guarantee. It is one of the constants below or a name
	// that the caller of the harness defines.
	Guarantee string
	Detail    string
}

// String returns the guarantee and the detail.
func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Guarantees that Audit checks for each request.
const (
	GuaranteeOneDispatch = "dispatched at most once"
	GuaranteeOneRun      = "a key runs at most once"
	GuaranteeNotRun      = "not_run is true"
	GuaranteeRan         = "ran is true"
	// GuaranteeCorrectAnswer means that an answer belongs to its request, and that an
	// answer marked complete is whole.
	GuaranteeCorrectAnswer = "whole own answer"
)

// Audit checks every call against the targets' records and returns the violations,
// including those that the version monitor has found. A request whose call has not
// ended is treated as one that may have run.
func (h *Harness) Audit() []Violation {
	return append(auditCalls(h.Calls(), h.Runs()), h.versionMonitor.violations()...)
}

func auditCalls(calls []*Call, runs map[tables.RequestID]Run) []Violation {
	a := audit{runs: runs, byContent: make(map[string]int)}
	for id, run := range a.runs {
		a.checkDispatches(id, run)
		a.byContent[run.Content] += run.Runs
	}
	groups := make(map[string][]*Call)
	for _, c := range calls {
		a.checkCall(c)
		groups[c.Request.Content()] = append(groups[c.Request.Content()], c)
	}
	for content, calls := range groups {
		a.checkContent(content, calls)
	}
	slices.SortFunc(a.violations, func(x, y Violation) int { return strings.Compare(x.String(), y.String()) })
	return a.violations
}

// audit collects the violations of one Audit.
type audit struct {
	runs map[tables.RequestID]Run
	// byContent holds the number of runs of each content.
	byContent  map[string]int
	violations []Violation
}

func (a *audit) addViolation(guarantee, format string, args ...any) {
	a.violations = append(a.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// checkDispatches checks that a request was dispatched and run at most once.
// Dispatches that an engine refused before the run because the model was not
// loaded do not count.
func (a *audit) checkDispatches(id tables.RequestID, run Run) {
	refusedAfterRun := run.Runs > 0 && run.LastNotLoaded.After(run.Started)
	if run.Dispatches-run.NotLoaded > 1 || run.Runs > 1 || refusedAfterRun {
		a.addViolation(GuaranteeOneDispatch, "request %s was dispatched %d times and ran %d times at %v", id, run.Dispatches, run.Runs, run.Targets)
	}
}

func (a *audit) checkCall(c *Call) {
	r := c.Result()
	run := a.runs[r.ID]
	name := c.Request.Name
	if r.ID != "" && r.Ran == errkind.RanNo && run.Runs > 0 {
		a.addViolation(GuaranteeNotRun, "%s (%s) was answered with %s and ran at %v", name, r.ID, r.Kind, run.Targets)
	}
	if r.ID != "" && r.Ran == errkind.RanYes && run.Runs == 0 {
		a.addViolation(GuaranteeRan, "%s (%s) was answered with %s and never ran", name, r.ID, r.Kind)
	}
	a.checkAnswer(c, r, run)
}

func (a *audit) checkAnswer(c *Call, r Result, run Run) {
	name := c.Request.Name
	if r.Complete && run.Runs == 0 {
		a.addViolation(GuaranteeCorrectAnswer, "%s (%s) got %d bytes and never ran: %.100q", name, r.ID, len(r.Text), r.Text)
		return
	}
	if run.Runs > 0 && run.Content != c.Request.Content() {
		a.addViolation(GuaranteeCorrectAnswer, "%s (%s) ran as %q", name, r.ID, run.Content)
		return
	}
	expected := c.Expected(run)
	if r.Complete && r.Text != expected {
		a.addViolation(GuaranteeCorrectAnswer, "%s (%s) got %d bytes of %d as its complete answer: %.60q", name, r.ID, len(r.Text), len(expected), r.Text)
	}
	if !r.Complete && r.Tokens > 0 && !strings.HasPrefix(expected, r.Text) {
		a.addViolation(GuaranteeCorrectAnswer, "%s (%s) got tokens that are not its own: %.60q", name, r.ID, r.Text)
	}
}

// Expected returns the complete answer that the stand-in gives to the request. It is
// computed from the request, the request ID and, for a generation, run.MaxTokens.
func (c *Call) Expected(run Run) string {
	id := c.Result().ID
	if c.Request.Operation != "" {
		return string(plain.ExpectedAnswer(id, c.Request.Operation, []byte(c.Request.Body)))
	}
	return engine.ExpectedAnswer(id, c.Request.Body, run.MaxTokens)
}

// checkContent checks the number of runs of a content against all calls with that
// content. Calls with the same key are one request; each call without a key is a
// separate request. The runs may not outnumber the requests that may have run: those
// with at least one call that was not answered with not_run.
func (a *audit) checkContent(content string, calls []*Call) {
	requests := make(map[string]bool)
	keyed := false
	for i, c := range calls {
		r := c.Result()
		if c.Request.Key != "" {
			keyed = true
		}
		if r.Ran != errkind.RanNo {
			requests[c.identity(i)] = true
		}
	}
	if runs := a.byContent[content]; runs > len(requests) {
		guarantee := GuaranteeNotRun
		if keyed && runs > 1 {
			guarantee = GuaranteeOneRun
		}
		a.addViolation(guarantee, "%s: %d runs for %d requests that may have run", calls[0].Request.Name, runs, len(requests))
	}
}

// identity returns a name for the request that c belongs to: its idempotency key
// or, without one, the index of the call.
func (c *Call) identity(index int) string {
	if c.Request.Key != "" {
		return "key " + c.Request.Key
	}
	return fmt.Sprintf("call %d", index)
}
