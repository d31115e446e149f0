package edge

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"
)

// errSilentTooLong is the cancellation cause of a call whose target sent nothing for
// defaultTimeout, if the request has no deadline that would end it.
var errSilentTooLong = errors.New("the target has sent nothing for longer than a request without a deadline waits")

// silenceLimit ends a call whose target sends nothing for defaultTimeout. A call may
// last longer than that. It is safe for concurrent use.
type silenceLimit struct{ timer clockwork.Timer }

// newSilenceLimit starts the limit of a call. It returns nil if the request has a
// deadline.
func (ex *exchange) newSilenceLimit(cancelCall context.CancelCauseFunc) *silenceLimit {
	if !ex.deadline.IsZero() {
		return nil
	}
	return &silenceLimit{ex.server.Clock.AfterFunc(defaultTimeout, func() { cancelCall(errSilentTooLong) })}
}

// reset records that the target has sent something.
func (l *silenceLimit) reset() {
	if l != nil {
		l.timer.Reset(defaultTimeout)
	}
}

// stop ends the limit until reset is called.
func (l *silenceLimit) stop() {
	if l != nil {
		l.timer.Stop()
	}
}
