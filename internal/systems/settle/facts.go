// Package settle resolves the outcome of a request whose dispatch has an unknown
// result: the send timed out, its connection broke, or its dispatcher was lost.
// It never dispatches the request again. It reports a request as not run only if
// no byte of it was sent or if all targets that may have received it prove that
// they did not start it.
package settle

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// MaxFailures is the number of failed queries on new connections after which a
// target is not queried again.
const MaxFailures = 5

// SendLease is how long a dispatcher may still send a request after its last
// contact with the gate. A dispatcher selects a connection to the target, then checks
// the lease, then writes to that connection. The write may be delayed until the
// lease has expired. A target that was cancelled by then has a tombstone and does
// not start the request. A target that lost its tombstone in a restart does not
// receive the request, because the restart broke the connection. A gate that lost
// its dispatcher sets Facts.SenderStopped once this time has passed.
const SendLease = 5 * time.Second

// MaxSendDelay is the maximum time from a gate's acquire call to the last send of
// the request that acquired the key. Gate and dispatcher each use the clock of
// their host. Dispatchers do not send a keyed request after it.
const MaxSendDelay = 5 * time.Minute

// TargetReport is what a target has reported about one dispatch ID.
type TargetReport struct {
	// Progress is the latest reported progress; empty before the first report.
	Progress target.Progress
	// AfterSenderStop is set if Progress was reported after the sender had stopped.
	AfterSenderStop bool
	// NoStream is set if the target had no stream to resume.
	NoStream bool
	// AnswerNotKept is set if the target completed the request and no longer has the
	// answer.
	AnswerNotKept bool
	// Failures is the number of failed queries since the last report of progress.
	Failures int
}

// Facts holds everything known about a dispatch with an unknown result. It is
// not safe for concurrent use.
type Facts struct {
	// PlainService is set for a call of a plain service, which has no stream.
	PlainService bool
	// MayHaveBeenSent is false only if no byte can have reached a target.
	MayHaveBeenSent bool
	// SenderStopped is set once the sender cannot send the request any more: the
	// sender reported so, its SendLease has expired, HolderStopped returned true, or
	// the sender is this process, which sends nothing while it resolves the outcome.
	SenderStopped bool
	// CallerGone is set if no caller waits for the answer any more.
	CallerGone bool
	// Allowed lists all targets that may have started the request.
	Allowed []tables.TargetID
	// DispatchTarget is the target to which the dispatcher last reported sending the
	// request; empty if it reported none. If Offset is not zero, it is the target that
	// began the answer.
	DispatchTarget tables.TargetID
	// Offset is the number of answer tokens received.
	Offset int
	// Complete is set once the last part of the answer has been received.
	Complete bool

	reports map[tables.TargetID]TargetReport
}

// Report returns what target id has reported so far.
func (f *Facts) Report(id tables.TargetID) TargetReport {
	return f.reports[id]
}

// RecordProgress records the progress that a target reported, for example in its reply to
// a cancel that was sent on a new connection.
func (f *Facts) RecordProgress(id tables.TargetID, p target.Progress) {
	f.update(id, func(r *TargetReport) {
		r.Progress = p
		r.AfterSenderStop = f.SenderStopped
		r.NoStream = false
		r.Failures = 0
	})
}

// RecordNoStream records that a target has no stream of the dispatch.
func (f *Facts) RecordNoStream(id tables.TargetID) {
	f.update(id, func(r *TargetReport) { r.NoStream = true })
}

// RecordAnswerNotKept records that a target ran the dispatch and no longer has its
// answer.
func (f *Facts) RecordAnswerNotKept(id tables.TargetID) {
	f.update(id, func(r *TargetReport) { r.AnswerNotKept = true })
}

// RecordFailure records that a query to a target failed.
func (f *Facts) RecordFailure(id tables.TargetID) {
	f.update(id, func(r *TargetReport) { r.Failures++ })
}

func (f *Facts) update(id tables.TargetID, apply func(*TargetReport)) {
	if f.reports == nil {
		f.reports = make(map[tables.TargetID]TargetReport)
	}
	r := f.reports[id]
	apply(&r)
	f.reports[id] = r
}

// provesRun reports whether the target ran the dispatch or runs it.
func (r TargetReport) provesRun() bool {
	switch r.Progress {
	case target.InProgress, target.Completed, target.Cancelled, target.Failed:
		return true
	}
	return r.AnswerNotKept
}

// HolderStopped reports whether the request that holds a key can no longer be
// sent, for a holder whose gate cannot be queried. since is the log's time of the
// winning claim. sendWithin is the maximum time from the gate's acquire call to
// the last send; gates and dispatchers do not send a request after it. skew is the
// maximum difference between any two of the clocks of the gate, the dispatcher,
// the log and the calling process.
func HolderStopped(now, since time.Time, sendWithin, skew time.Duration) bool {
	return now.Sub(since) > sendWithin+SendLease+2*skew
}
