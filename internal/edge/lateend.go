package edge

import (
	"errors"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// deadlineMargin is how far from the deadline that a target was given the end of its answer may
// be and still be due to that deadline: the target counts from the arrival of the request, may
// stop a little earlier to answer in time, and its timers and the way to it take some milliseconds.
const deadlineMargin = 25 * time.Millisecond

var errEndAtDeadline = errors.New("the target may have stopped at its deadline in the middle of the answer")

// checkDeadline returns an error if a stream without a stated length has ended regularly at about
// the deadline that its target was given, unless the caller has an event for each token. A target
// that stops there closes its answer in the same way as one that is done. The error ends the
// request: there is no time left for another target.
func (ex *exchange) checkDeadline(resp *Response) error {
	distance := ex.server.Clock.Now().Sub(ex.targetDeadline).Abs()
	if resp.Length >= 0 || ex.targetDeadline.IsZero() || distance > deadlineMargin || ex.hasAllTokens() {
		return nil
	}
	cause := fmt.Errorf("%w, after %v", errEndAtDeadline, ex.relay.lastID)
	return errkind.Wrap(cause, errkind.OutcomeUnknown, cause.Error())
}
