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

// Run is what the targets recorded of one request ID.
type Run struct {
	Targets    []tables.TargetID
	Dispatches int
	Runs       int
	Refused    int
	// NotLoaded counts the sends that an engine refused because it did not hold
	// the model: proof that another may get the request. LastNotLoaded is the
	// time of the latest.
	NotLoaded     int
	LastNotLoaded time.Time
	Content       string
	MaxTokens     int
	// Started and Ended are of the latest run; Ended is zero while it runs.
	Started, Ended time.Time
	Progress       target.Progress
}

// Runs collects the records of all targets by request ID.
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

// InProgress counts the requests that run at targets.
func (h *Harness) InProgress() int {
	total := 0
	for _, run := range h.Runs() {
		if run.Progress == target.InProgress {
			total++
		}
	}
	return total
}

// plus adds the counts of one target.
func (r Run) plus(at tables.TargetID, dispatches, runs, refused int) Run {
	if dispatches > 0 {
		r.Targets = append(r.Targets, at)
	}
	r.Dispatches += dispatches
	r.Runs += runs
	r.Refused += refused
	return r
}

func addEngineRuns(runs map[tables.RequestID]Run, at tables.TargetID, r engine.Records) {
	for id, rec := range r.Requests {
		run := runs[id].plus(at, rec.Dispatches, rec.Runs, rec.Refused)
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

func addPlainRuns(runs map[tables.RequestID]Run, at tables.TargetID, r plain.Records) {
	for id, rec := range r.Calls {
		run := runs[id].plus(at, rec.Dispatches, rec.Runs, rec.Refused)
		if rec.Runs > 0 {
			run.Content = plainContent(rec.Operation, string(rec.Body))
			run.Ended, run.Progress = rec.Ended, rec.Progress
		}
		runs[id] = run
	}
}

func plainContent(operation, body string) string { return operation + " " + body }

// Content identifies what a request asks for in the records of targets.
func (r Request) Content() string {
	if r.Operation != "" {
		return plainContent(r.Operation, r.Body)
	}
	return r.Body
}

// Violation is one promise that was broken.
type Violation struct {
	// Promise is a stable word for the kind of promise.
	Promise string
	Detail  string
}

// String returns both parts.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Promises that Audit checks.
const (
	PromiseOneDispatch = "dispatched at most once"
	PromiseOneRun      = "a key runs at most once"
	PromiseNotRun      = "not_run is true"
	PromiseRan         = "ran is true"
	PromiseOwnAnswer   = "whole own answer"
)

// Audit checks every finished call against the targets' records, and that no
// version has fallen.
func (h *Harness) Audit() []Violation {
	return append(auditCalls(h.Calls(), h.Runs()), h.versions.violations()...)
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

type audit struct {
	runs       map[tables.RequestID]Run
	byContent  map[string]int
	violations []Violation
}

func (a *audit) add(promise, format string, args ...any) {
	a.violations = append(a.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// checkDispatches lets a request go to another engine after one that proved,
// before any run, that it did not hold the model.
func (a *audit) checkDispatches(id tables.RequestID, run Run) {
	late := run.Runs > 0 && run.LastNotLoaded.After(run.Started)
	if run.Dispatches-run.NotLoaded > 1 || run.Runs > 1 || late {
		a.add(PromiseOneDispatch, "request %s was dispatched %d times and ran %d times at %v", id, run.Dispatches, run.Runs, run.Targets)
	}
}

func (a *audit) checkCall(c *Call) {
	r := c.Result()
	run := a.runs[r.ID]
	name := c.Request.Name
	if r.ID != "" && r.Ran == errkind.RanNo && run.Runs > 0 {
		a.add(PromiseNotRun, "%s (%s) was told %s and ran at %v", name, r.ID, r.Kind, run.Targets)
	}
	if r.ID != "" && r.Ran == errkind.RanYes && run.Runs == 0 {
		a.add(PromiseRan, "%s (%s) was told %s and never ran", name, r.ID, r.Kind)
	}
	a.checkAnswer(c, r, run)
}

func (a *audit) checkAnswer(c *Call, r Result, run Run) {
	name := c.Request.Name
	if r.Whole && run.Runs == 0 {
		a.add(PromiseOwnAnswer, "%s (%s) got %d bytes and never ran: %.100q", name, r.ID, len(r.Text), r.Text)
		return
	}
	if run.Runs > 0 && run.Content != c.Request.Content() {
		a.add(PromiseOwnAnswer, "%s (%s) ran as %q", name, r.ID, run.Content)
		return
	}
	expected := c.Expected(run)
	if r.Whole && r.Text != expected {
		a.add(PromiseOwnAnswer, "%s (%s) got %d bytes of %d as its whole answer: %.60q", name, r.ID, len(r.Text), len(expected), r.Text)
	}
	if !r.Whole && r.Tokens > 0 && !strings.HasPrefix(expected, r.Text) {
		a.add(PromiseOwnAnswer, "%s (%s) got tokens that are not its own: %.60q", name, r.ID, r.Text)
	}
}

// Expected returns the whole answer to the request by its ID and its run.
func (c *Call) Expected(run Run) string {
	id := c.Result().ID
	if c.Request.Operation != "" {
		return string(plain.ExpectedAnswer(id, c.Request.Operation, []byte(c.Request.Body)))
	}
	return engine.ExpectedAnswer(id, c.Request.Body, run.MaxTokens)
}

// checkContent checks the calls that asked for the same content. Runs may not
// exceed the distinct identities that were not told "not run".
func (a *audit) checkContent(content string, calls []*Call) {
	identities := make(map[string]bool)
	keyed := false
	for i, c := range calls {
		r := c.Result()
		if c.Request.Key != "" {
			keyed = true
		}
		if r.Ran != errkind.RanNo {
			identities[c.identity(i)] = true
		}
	}
	if runs := a.byContent[content]; runs > len(identities) {
		promise := PromiseNotRun
		if keyed && runs > 1 {
			promise = PromiseOneRun
		}
		a.add(promise, "%s: %d runs for %d identities that may have run", calls[0].Request.Name, runs, len(identities))
	}
}

func (c *Call) identity(index int) string {
	if c.Request.Key != "" {
		return "key " + c.Request.Key
	}
	return fmt.Sprintf("call %d", index)
}
