// Package settle decides what to do about a request whose dispatch has an
// unknown result: the send timed out, its connection broke, or its dispatcher
// was lost. It never asks for a second dispatch. Only the words of targets
// turn an unknown result into "not run".
package settle

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// MaxFailures is the number of failed questions on new connections after
// which a target counts as unable to tell.
const MaxFailures = 5

// SendLease bounds the time in which a dispatcher may send a request after the
// gate's last sign of life. A dispatcher picks the connection to the target
// first, checks the lease second and writes third, so that a target that
// restarted in between cannot receive the request. A gate that lost its
// dispatcher sets Facts.SenderStopped once this time has passed.
const SendLease = 5 * time.Second

// SendWithin bounds the time from a gate's acquire call to the last send of the
// request that it claimed the key for, each by the clock of its host. Dispatchers
// send no keyed request later.
const SendWithin = 5 * time.Minute

// Account is what a target has said about one dispatch ID.
type Account struct {
	// Progress is the latest word; empty before the first one.
	Progress target.Progress
	// AfterStop is set when the word was spoken after the sender had stopped.
	AfterStop bool
	// NoStream is set when the target knew no stream to resume.
	NoStream bool
	// NotKept is set when the target completed the request and no longer
	// has its answer.
	NotKept bool
	// Failures counts questions that got no answer.
	Failures int
}

// Facts are all that is known about a dispatch with an unknown result.
type Facts struct {
	// Plain marks a call of a plain service, which has no stream.
	Plain bool
	// MayBeSent is false only when no byte can have reached a target.
	MayBeSent bool
	// SenderStopped states that whoever was to send the request will not send
	// it any more: it said so, it is this process, or its SendLease is over.
	SenderStopped bool
	// CallerLeft states that nobody waits for the answer.
	CallerLeft bool
	// Allowed lists every target at which the request may have been started.
	Allowed []tables.TargetID
	// Started is the target that the dispatcher named last, if it named one.
	Started tables.TargetID
	// Offset counts the answer tokens that have arrived.
	Offset int
	// Whole is set when the final part of the answer has arrived.
	Whole bool

	accounts map[tables.TargetID]Account
}

// Account returns what id has said so far.
func (f *Facts) Account(id tables.TargetID) Account {
	return f.accounts[id]
}

// Heard notes the word of a target, for example the answer to a cancel that
// was sent on a new connection.
func (f *Facts) Heard(id tables.TargetID, p target.Progress) {
	f.update(id, func(a *Account) {
		a.Progress = p
		a.AfterStop = f.SenderStopped
		a.NoStream = false
		a.Failures = 0
	})
}

// HeardNoStream notes that a target knows no stream of the dispatch.
func (f *Facts) HeardNoStream(id tables.TargetID) {
	f.update(id, func(a *Account) { a.NoStream = true })
}

// HeardNotKept notes that a target ran the dispatch and dropped its answer.
func (f *Facts) HeardNotKept(id tables.TargetID) {
	f.update(id, func(a *Account) { a.NotKept = true })
}

// HeardNothing notes that a question to a target got no answer.
func (f *Facts) HeardNothing(id tables.TargetID) {
	f.update(id, func(a *Account) { a.Failures++ })
}

func (f *Facts) update(id tables.TargetID, change func(*Account)) {
	if f.accounts == nil {
		f.accounts = make(map[tables.TargetID]Account)
	}
	a := f.accounts[id]
	change(&a)
	f.accounts[id] = a
}

// proves reports whether the account proves a run.
func (a Account) proves() bool {
	switch a.Progress {
	case target.InProgress, target.Completed, target.Cancelled, target.Failed:
		return true
	}
	return a.NotKept
}

// HolderStopped reports whether nobody can send a request any more that won its
// key at since, by the log's clock, and whose gate cannot be asked. sendWithin
// bounds the time from the gate's acquire call to the last possible send: gates
// and dispatchers drop what is older. skew bounds how far two clocks differ, of
// which four matter: those of the gate, the dispatcher, the log and the caller.
func HolderStopped(now, since time.Time, sendWithin, skew time.Duration) bool {
	return now.Sub(since) > sendWithin+SendLease+2*skew
}
