// Package settle resolves the outcome of a request whose dispatch has an unknown
// result: the send timed out, its connection broke, or its dispatcher was lost.
// It never dispatches the request again. It concludes that the request did not
// run only from what targets report.
package settle

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// MaxFailures is the number of failed queries on new connections after which a
// target is not queried again.
const MaxFailures = 5

// SendLease is how long after its last contact with the gate a dispatcher may
// send a request. A dispatcher selects the connection to the target, then checks
// the lease and then writes, so that a target that restarted in between cannot
// receive the request. A gate that lost its dispatcher sets Facts.SenderStopped
// once this time has passed.
const SendLease = 5 * time.Second

// SendWithin is the maximum time from a gate's acquire call to the last send of
// the request that acquired the key. Gate and dispatcher each use the clock of
// their host. Dispatchers do not send a keyed request after it.
const SendWithin = 5 * time.Minute

// Account is what a target has reported about one dispatch ID.
type Account struct {
	// Progress is the latest reported progress; empty before the first report.
	Progress target.Progress
	// AfterStop is set if Progress was reported after the sender had stopped.
	AfterStop bool
	// NoStream is set if the target had no stream to resume.
	NoStream bool
	// NotKept is set if the target completed the request and no longer has the
	// answer.
	NotKept bool
	// Failures is the number of failed queries since the last report of progress.
	Failures int
}

// Facts holds everything known about a dispatch with an unknown result. It is
// not safe for concurrent use.
type Facts struct {
	// Plain is set for a call of a plain service, which has no stream.
	Plain bool
	// MayBeSent is false only if no byte can have reached a target.
	MayBeSent bool
	// SenderStopped is set once the sender cannot send the request any more: it
	// reported so, it is this process, or its SendLease has expired.
	SenderStopped bool
	// CallerLeft is set if no caller waits for the answer any more.
	CallerLeft bool
	// Allowed lists all targets that may have started the request.
	Allowed []tables.TargetID
	// Started is the target that the dispatcher reported last, if any.
	Started tables.TargetID
	// Offset is the number of answer tokens received.
	Offset int
	// Whole is set once the last part of the answer has been received.
	Whole bool

	reports map[tables.TargetID]Account
}

// Account returns what target id has reported so far.
func (f *Facts) Account(id tables.TargetID) Account {
	return f.reports[id]
}

// Heard records the progress that a target reported, for example in its reply to
// a cancel that was sent on a new connection.
func (f *Facts) Heard(id tables.TargetID, p target.Progress) {
	f.update(id, func(r *Account) {
		r.Progress = p
		r.AfterStop = f.SenderStopped
		r.NoStream = false
		r.Failures = 0
	})
}

// HeardNoStream records that a target has no stream of the dispatch.
func (f *Facts) HeardNoStream(id tables.TargetID) {
	f.update(id, func(r *Account) { r.NoStream = true })
}

// HeardNotKept records that a target ran the dispatch and no longer has its
// answer.
func (f *Facts) HeardNotKept(id tables.TargetID) {
	f.update(id, func(r *Account) { r.NotKept = true })
}

// HeardNothing records that a query to a target failed.
func (f *Facts) HeardNothing(id tables.TargetID) {
	f.update(id, func(r *Account) { r.Failures++ })
}

func (f *Facts) update(id tables.TargetID, apply func(*Account)) {
	if f.reports == nil {
		f.reports = make(map[tables.TargetID]Account)
	}
	r := f.reports[id]
	apply(&r)
	f.reports[id] = r
}

// provesRun reports whether the target ran the dispatch or runs it.
func (r Account) provesRun() bool {
	switch r.Progress {
	case target.InProgress, target.Completed, target.Cancelled, target.Failed:
		return true
	}
	return r.NotKept
}

// HolderStopped reports whether the request that holds a key can no longer be
// sent, for a holder whose gate cannot be queried. since is the log's time of the
// winning claim. sendWithin is the maximum time from the gate's acquire call to
// the last send; gates and dispatchers drop older requests. skew is the maximum
// difference between two clocks; the clocks of the gate, the dispatcher, the log
// and the calling process matter here.
func HolderStopped(now, since time.Time, sendWithin, skew time.Duration) bool {
	return now.Sub(since) > sendWithin+SendLease+2*skew
}
