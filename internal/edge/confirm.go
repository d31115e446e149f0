package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// confirmWait bounds the time in which other targets may tell that a stream goes on whose
	// target has ended it and lives. Mostly nothing follows, and the caller waits for the end only.
	confirmWait = 500 * time.Millisecond
	// maxUnusualShare is the share of a target's streams without framing up to which such a stream
	// is unusual. Where it is usual, asking for the rest of each would use up the budget for retries.
	maxUnusualShare = 1.0 / 8
	// framingWeight is the weight of a further stream in that share.
	framingWeight = 1.0 / 16
	// maxFramings bounds the targets whose share is kept. They are forgotten all at once: asking
	// begins anew after some streams.
	maxFramings = 4096
)

var (
	errEndUnconfirmed = errors.New("the stream may have been cut at its end")
	errNotConfirmed   = errors.New("no other target has told in time whether the stream goes on")
)

// framings keeps how targets end their streams. It is safe for concurrent use.
type framings struct {
	mu    sync.Mutex
	known map[tables.TargetID]framing
}

// framing is the share of streams without framing of one start of a target.
type framing struct {
	startedAt     time.Time
	unframedShare float64
}

// record records a stream of a target, and reports whether it is unusual that it has no framing.
// That is not known of a target whose first streams have come just now.
func (f *framings) record(t fleet.Target, framed bool) (unusual bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil || len(f.known) >= maxFramings {
		f.known = make(map[tables.TargetID]framing)
	}
	k, ok := f.known[t.ID]
	if !ok || !k.startedAt.Equal(t.StartedAt) {
		k = framing{startedAt: t.StartedAt, unframedShare: 1}
	}
	unusual = !framed && k.unframedShare <= maxUnusualShare
	k.unframedShare *= 1 - framingWeight
	if !framed {
		k.unframedShare += framingWeight
	}
	f.known[t.ID] = k
	return unusual
}

// needsConfirmation reports whether another target is to be asked if a stream goes on that has
// ended regularly: its connection may have been cut, though its target lives.
func (ex *exchange) needsConfirmation() bool {
	return ex.call.unusualEnd && ex.mayFailOver(ex.target.ID) && !ex.hasAllTokens()
}

// doubtEnd returns the error of a stream that its target has ended regularly, and that has stopped
// then: maybe in the middle of the stream. Unless another target tells, the answer breaks off, and
// its caller may take the stream up. An answer without events tells nothing.
func (ex *exchange) doubtEnd(hasEvents bool) error {
	if hasEvents {
		ex.relay.endInDoubt, ex.relay.emptyEnd = true, emptyEnd{}
	}
	return ex.mayHaveRunError(fmt.Errorf("%w, after %v: %w", errEndUnconfirmed, ex.relay.lastID, ErrEndUnconfirmed))
}

// askForRest makes another target tell whether a stream goes on that has ended regularly. Unless
// one does so, the stream ends with padding, the rest of the answer.
func (ex *exchange) askForRest(resp *Response, padding []byte) error {
	ex.relay.endInDoubt = true
	ex.relay.emptyEnd = emptyEnd{answer: resp, padding: padding, confirmBy: ex.server.Clock.Now().Add(confirmWait)}
	return ex.mayHaveRunError(fmt.Errorf("%w, after %v", errEndUnconfirmed, ex.relay.lastID))
}

// recordFollowing records that the answer of a target goes on with pending after the last event of
// the caller.
func (ex *exchange) recordFollowing(pending []byte) {
	if ex.relay.emptyEnd.isRegular() {
		// Only the next event shows that the stream goes on.
		id, ok := eventID(pending)
		if !ok || !ex.relay.lastID.precedes(id) {
			return
		}
	}
	ex.relay.endInDoubt, ex.relay.emptyEnd.disproved = false, true
	ex.confirmation.stop()
}

// confirmationLimit ends a call that was made to confirm the end of a stream.
type confirmationLimit struct{ timer clockwork.Timer }

// newConfirmationLimit returns nil if a call is made for another reason.
func (ex *exchange) newConfirmationLimit(cancelCall context.CancelCauseFunc) *confirmationLimit {
	end := &ex.relay.emptyEnd
	if !end.holds() || !end.isRegular() {
		return nil
	}
	left := end.confirmBy.Sub(ex.server.Clock.Now())
	return &confirmationLimit{ex.server.Clock.AfterFunc(left, func() { cancelCall(errNotConfirmed) })}
}

func (l *confirmationLimit) stop() {
	if l != nil {
		l.timer.Stop()
	}
}
