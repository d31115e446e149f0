package edge

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// relayStream relays complete events as they arrive, until the answer of the target ends.
func (ex *exchange) relayStream(ctx context.Context, resp *Response, onFirstByte func()) error {
	ex.relay.stream = true
	var pending []byte
	buffer := make([]byte, readBufferSize)
	hasEvents := false
	body := newAheadReader(resp.Body, ex.server.Budget)
	defer body.close()
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if !isPadding(pending) {
			ex.recordFollowing(pending)
		}
		if complete := numberedLength(pending); complete > 0 {
			if !hasEvents {
				onFirstByte()
				hasEvents = true
			}
			body.beginWrite()
			err := ex.relayEvents(resp, pending[:complete])
			body.endWrite()
			if err != nil {
				return err
			}
			// Only whole events count: a target that stalls may still send a byte now
			// and then.
			ex.silence.reset()
			ex.failover.reset(eventIdleTimeout(ex.route.EventGapSLO, ex.relay.longestGap, ex.route.CallerTimeout))
			pending = append(pending[:0], pending[complete:]...)
		}
		if len(pending) > MaxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			return ex.concludeStream(resp, pending, hasEvents, err)
		}
		if ctx.Err() != nil {
			return ex.mayHaveRunError(context.Cause(ctx))
		}
	}
}

// concludeStream ends the relaying of an answer. rest is what followed its last event, and end
// how it has ended: io.EOF or ErrEndUnconfirmed at its regular end. Errors are of type *SendError if another target may
// go on with the stream.
func (ex *exchange) concludeStream(resp *Response, rest []byte, hasEvents bool, end error) error {
	unconfirmed := errors.Is(end, ErrEndUnconfirmed)
	regular := (unconfirmed || errors.Is(end, io.EOF)) && isPadding(rest)
	if regular {
		if err := ex.checkDeadline(resp); err != nil {
			return err
		}
	}
	switch {
	case errors.Is(end, errSlowCaller):
		return end
	case !resp.Framed && !endsWithLine(rest):
		return ex.mayHaveRunError(fmt.Errorf("%w within a line after %v: %w", errTruncated, ex.relay.lastID, end))
	case regular && unconfirmed && !ex.hasAllTokens():
		return ex.doubtEnd(hasEvents)
	case regular && hasEvents && ex.needsConfirmation():
		return ex.askForRest(resp, rest)
	case regular && hasEvents:
		return ex.writeToCaller(rest)
	case regular:
		return ex.concludeEmpty(resp, rest)
	case errors.Is(end, ErrEndInDoubt) && hasEvents && isPadding(rest):
		ex.relay.endInDoubt, ex.relay.emptyEnd = true, emptyEnd{}
	}
	return ex.mayHaveRunError(fmt.Errorf("%w after %v: %w", errTruncated, ex.relay.lastID, end))
}

// concludeEmpty ends the relaying of an answer without an event, which has ended regularly. It may
// be right for a caller that takes up a stream, or after an end in doubt. A target that adds
// nothing to a stream that this request began may as well have failed.
func (ex *exchange) concludeEmpty(resp *Response, padding []byte) error {
	switch {
	case !resp.Framed:
		return ex.mayHaveRunError(fmt.Errorf("%w after %v, without a length", errTruncated, ex.relay.lastID))
	case ex.relay.endInDoubt:
		return ex.endWithoutEvent(resp, padding)
	case ex.relay.started:
		return ex.mayHaveRunError(fmt.Errorf("%w after %v", errNotResumed, ex.relay.lastID))
	case ex.relay.lastID.none():
		return ex.mayHaveRunError(fmt.Errorf("%w before its first event", errTruncated))
	default:
		return ex.endWithoutEvent(resp, padding)
	}
}

// pauseSilence stops all timers for the silence of the target, since its caller may be
// slow to take up what it has sent.
func (ex *exchange) pauseSilence() {
	ex.failover.pause()
	ex.silence.stop()
}

// relayEvents relays complete events. The failover is paused from then on.
func (ex *exchange) relayEvents(resp *Response, events []byte) error {
	ex.pauseSilence()
	for len(events) > 0 {
		end := firstEventLength(events)
		if err := ex.relayEvent(resp, events[:end]); err != nil {
			return err
		}
		events = events[end:]
	}
	return nil
}

// streamLength returns the length that the caller is told of a stream; negative if it is told none.
// Events of another target may have other lengths than those of the first one, and the caller would
// take the stream for complete at the length that the first one has stated.
func (ex *exchange) streamLength(resp *Response) int64 {
	if ex.route.Retryable() {
		return -1
	}
	return resp.Length
}

// beginStream sends the status and header of a stream.
func (ex *exchange) beginStream(resp *Response) {
	now := ex.server.Clock.Now()
	ex.relay.started = true
	ex.relay.firstAt = now
	ex.relay.version = ex.target.Version
	ex.caller.Begin(resp.Status, resp.Header, ex.streamLength(resp))
	ex.server.Metrics.FirstEvent(string(ex.service), now.Sub(ex.request.Arrived))
}

func (ex *exchange) relayEvent(resp *Response, e []byte) error {
	if !isEvent(e) {
		return ex.mayHaveRunError(fmt.Errorf("%w after %v", errNotEvents, ex.relay.lastID))
	}
	id, _ := eventID(e)
	if !ex.relay.lastID.precedes(id) {
		return ex.mayHaveRunError(fmt.Errorf("%w: %d after %v", errEventOrder, id, ex.relay.lastID))
	}
	now := ex.server.Clock.Now()
	if !ex.relay.started {
		ex.beginStream(resp)
	}
	if err := ex.writeToCaller(e); err != nil {
		return err
	}
	if ex.relay.events == 0 {
		ex.relay.firstSentID = id
	}
	ex.relay.lastID = numbered(id)
	ex.relay.recordEvent(now)
	ex.recordCallEvent()
	return nil
}

// writeToCaller sends a part of the body, if it is not empty.
func (ex *exchange) writeToCaller(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := ex.caller.Write(part); err != nil {
		return errkind.Wrap(errors.Join(errCallerDisconnected, err), errkind.CancelledWhileRunning, "the caller left")
	}
	return nil
}
