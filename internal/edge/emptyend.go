package edge

import (
	"errors"
	"fmt"
	"time"
)

// emptyEndWait is how long a request waits for a slot at a target that may have what another one
// says that it has not. Mostly there is no more, and the caller waits for the end only.
const emptyEndWait = 200 * time.Millisecond

var errNothingFollows = errors.New("the target says that nothing follows")

// emptyEnd is what targets say of a stream that its caller takes up, or whose end is in doubt,
// and of which they send no event. That is right if the caller has all events, and looks the
// same if a target has lost them.
type emptyEnd struct {
	// answer is the first one without an event, or that with the last event; nil if there is none.
	// Its body, which is closed, had the comments and blank lines of padding only, or at its end.
	answer  *Response
	padding []byte
	// confirmBy is until when other targets may tell that the stream goes on, if answer has ended
	// it regularly and has events; zero otherwise.
	confirmBy time.Time
	// disproved is true once another target has begun to send events.
	disproved bool
}

// holds reports whether a target says that nothing follows, and none says otherwise.
func (e *emptyEnd) holds() bool { return e.answer != nil && !e.disproved }

// isRegular reports whether a target that lives has ended the stream.
func (e *emptyEnd) isRegular() bool { return !e.confirmBy.IsZero() }

// endWithoutEvent ends the answer to a caller that takes up a stream, or an answer whose end is in
// doubt, if the last event of the caller is that of the stream: it has an event for each token,
// or two targets say so. Otherwise another target is to be asked.
func (ex *exchange) endWithoutEvent(resp *Response, padding []byte) error {
	end := &ex.relay.emptyEnd
	if end.holds() && end.isRegular() {
		return ex.writeEnd(resp, end.padding)
	}
	if ex.hasAllTokens() || end.holds() {
		return ex.writeEnd(resp, padding)
	}
	if end.answer == nil {
		end.answer, end.padding = resp, padding
	}
	return ex.mayHaveRunError(fmt.Errorf("%w %v", errNothingFollows, ex.relay.lastID))
}

// writeEnd sends the bytes of an answer without an event, which end the stream.
func (ex *exchange) writeEnd(resp *Response, padding []byte) error {
	if !ex.relay.started {
		ex.beginStream(resp)
	}
	return ex.writeToCaller(padding)
}

// hasAllTokens reports whether the caller has as many events as the answer may have tokens.
func (ex *exchange) hasAllTokens() bool {
	return ex.request.HasTokenCounts && ex.relay.lastID.number >= int64(ex.request.MaxOutputTokens)
}

// checkEmptyEnd records whether a failed call disproves that the stream has ended.
func (ex *exchange) checkEmptyEnd(err error) {
	if ex.relay.emptyEnd.isRegular() {
		return
	}
	broken := errors.Is(err, errTruncated) || errors.Is(err, errEventOrder)
	doubted := ex.relay.endInDoubt && errors.Is(err, ErrEndInDoubt)
	if broken && !doubted && ex.call.answered && isStream(ex.call.status) {
		ex.relay.emptyEnd.disproved = true
	}
}

// deliverEmptyEnd ends the answer as the only target says that could be asked. It reports whether
// there is one.
func (ex *exchange) deliverEmptyEnd() bool {
	end := &ex.relay.emptyEnd
	if !end.holds() || ex.relay.started && !ex.relay.endInDoubt {
		return false
	}
	// An error means that the caller disconnected, which also ends its context.
	_ = ex.writeEnd(end.answer, end.padding)
	return true
}
