package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// readBufferSize is the buffer size for reading a stream.
	readBufferSize = 16 << 10
	// MaxEventBytes bounds the length of an event of a stream. A target may send bytes
	// without end that complete no event.
	MaxEventBytes = 64 << 10
	// minGapEvents is the minimum number of events for computing a mean gap.
	minGapEvents = 4
)

var (
	errServerError        = errors.New("the target answered with a server error")
	errClaimsNotRun       = errors.New("the answer does not prove what its status says, that the request has not run")
	errUnsigned           = errors.New("the answer lacks the target's signature")
	errTruncated          = errors.New("the answer broke off")
	errEventTooLong       = fmt.Errorf("an event exceeds %d bytes", MaxEventBytes)
	errEventOrder         = errors.New("an event is missing or comes twice")
	errNotResumed         = errors.New("the target did not go on with the stream")
	errNotEvents          = errors.New("the answer is no stream of events")
	errCallerDisconnected = errors.New("the caller left")
)

// relay is the state of the response that the caller receives.
type relay struct {
	// started is true once the status and header have been sent.
	started bool
	// firstAt is when the first event or the buffered response was sent to the
	// caller. latestAt is when the latest event was sent.
	firstAt, latestAt time.Time
	// longestGap is the longest event gap so far.
	longestGap time.Duration
	events     int
	// lastID is the last event of the stream that the caller has, from this request or from
	// an earlier one. It is none if the route has no streams.
	lastID lastEvent
	// firstSentID is the ID of the first event that this host sent to the caller. It is valid
	// only if events is not zero.
	firstSentID int64
	// version is the software version of the target that sent the first event. It may have been
	// laterVersion if versionInDoubt is true.
	version, laterVersion tables.SoftwareVersion
	versionInDoubt        bool
	// mayHaveRun is true if the target of a failed call may have run the
	// request.
	mayHaveRun bool
	// serverError is a target's server error, relayed if no other target
	// responds.
	serverError *bufferedResponse
	// withheldStatus is the status of the latest answer with Response.ClaimsNotRun; zero if there
	// was none.
	withheldStatus int
	emptyEnd       emptyEnd
	stream         bool
	// endInDoubt is true if the answer with the last event ended after that event, its target may
	// have ended as well, and no other one has begun to go on. The next targets tell.
	endInDoubt bool
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// resumable reports whether another target can continue a started response.
func (r *relay) resumable() bool { return r.stream && r.events > 0 }

// recordEvent records that an event was sent.
func (r *relay) recordEvent(now time.Time) {
	if r.events > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.latestAt))
	}
	r.events++
	r.latestAt = now
}

func (r *relay) meanGap() time.Duration { return meanEventGap(r.firstAt, r.latestAt, r.events) }

// lastEventID returns the ID of the last event that the next target is told of; empty if there
// is none. On a route without streams it is what the caller states.
func (ex *exchange) lastEventID() string {
	if ex.route.Kind != fleet.Stream {
		return ex.request.LastEventID
	}
	return ex.relay.lastID.id()
}

// takesUp reports whether the caller already has events of the stream.
func (ex *exchange) takesUp() bool {
	return !ex.relay.lastID.none() || ex.request.FirstAttempt != ""
}

// relayResponse relays a response. Errors are of type *SendError if another
// target may be tried. A response that has started is only continued by a stream.
func (ex *exchange) relayResponse(ctx context.Context, resp *Response, onFirstByte func()) error {
	switch {
	case resp.ClaimsNotRun:
		return ex.withholdAnswer(resp)
	case resp.Status >= http.StatusInternalServerError:
		return ex.keepServerError(resp)
	case !resp.Signed:
		return ex.mayHaveRunError(errUnsigned)
	case ex.relay.started && !isStream(resp.Status):
		return ex.mayHaveRunError(fmt.Errorf("%w: status %d", errNotResumed, resp.Status))
	case ex.route.Kind == fleet.Stream && isStream(resp.Status) && !maySendEvents(resp.Header):
		return ex.mayHaveRunError(fmt.Errorf("%w: its type is %q", errNotEvents, resp.Header.Get("Content-Type")))
	case resp.Status < http.StatusMultipleChoices && ex.route.Kind == fleet.Stream:
		return ex.relayStream(ctx, resp, onFirstByte)
	default:
		return ex.relayBuffered(ctx, resp, onFirstByte)
	}
}

// isStream reports whether a response with the given status may hold events.
func isStream(status int) bool {
	return status < http.StatusMultipleChoices && status != http.StatusNoContent
}

// mayHaveRunError wraps the cause of a failed call whose target may have run the
// request.
func (ex *exchange) mayHaveRunError(cause error) error {
	return &SendError{Delivery: MayHaveRun, Cause: cause}
}

// keepServerError buffers a server error, which is relayed unless another
// target responds.
func (ex *exchange) keepServerError(resp *Response) error {
	body, err := ex.readBody(resp.Body)
	if err != nil {
		return ex.mayHaveRunError(err)
	}
	if resp.Signed && !ex.relay.started {
		ex.relay.serverError = &bufferedResponse{resp.Status, resp.Header, body}
	}
	return ex.mayHaveRunError(errServerError)
}

// withholdAnswer reads an answer whose status would make the caller repeat a request that may have
// run. No caller gets it, whatever the kind of the route.
func (ex *exchange) withholdAnswer(resp *Response) error {
	if _, err := ex.readBody(resp.Body); err != nil {
		return ex.mayHaveRunError(err)
	}
	ex.relay.withheldStatus = resp.Status
	ex.server.Metrics.AnswerWithheld(resp.Status)
	return ex.mayHaveRunError(fmt.Errorf("%w: status %d", errClaimsNotRun, resp.Status))
}

func (ex *exchange) relayBuffered(_ context.Context, resp *Response, onFirstByte func()) error {
	onFirstByte()
	body, err := ex.readBody(resp.Body)
	if err != nil {
		return ex.mayHaveRunError(err)
	}
	ex.pauseSilence()
	ex.deliver(&bufferedResponse{resp.Status, resp.Header, body})
	return nil
}

func (ex *exchange) deliver(resp *bufferedResponse) {
	ex.relay.started = true
	ex.relay.firstAt = ex.server.Clock.Now()
	ex.caller.Begin(resp.status, resp.header, int64(len(resp.body)))
	// An error means that the caller disconnected, which also ends its context.
	_ = ex.caller.Write(resp.body)
}
