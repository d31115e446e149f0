package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

const (
	// maxWholeBody bounds the answers that are read to their end before the
	// caller gets any of it.
	maxWholeBody = 1 << 20
	// readBytes is the size of one read of a stream.
	readBytes = 16 << 10
	// minPauseEvents is the number of events from which pauses are measured.
	minPauseEvents = 4
)

var (
	errServerError = errors.New("the target answered with a server error")
	errNotGenuine  = errors.New("the answer lacks the target's signature")
	errCutOff      = errors.New("the answer broke off")
	errOrder       = errors.New("an event is missing or comes twice")
	errCallerLeft  = errors.New("the caller left")
)

// relay is what the caller has of an answer.
type relay struct {
	// begun is true once the caller has the head of the answer.
	begun bool
	// first and latest are when the first and the latest event went out.
	first, latest time.Time
	// longest is the longest pause between two events so far.
	longest time.Duration
	events  int
	// last is the ID of the last event that went out; zero before the first.
	last int64
	// mayHaveRun is true after a send that may have run.
	mayHaveRun bool
	// failure is a server error of a target, passed on if no other answers.
	failure *wholeAnswer
	stream  bool
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// lastEvent is the event after which a new send goes on.
func (r *relay) lastEvent(asked string) string {
	if r.last == 0 {
		return asked
	}
	return strconv.FormatInt(r.last, 10)
}

// resumable reports whether an answer that has begun can go on elsewhere.
func (r *relay) resumable() bool { return r.stream && r.last > 0 }

// passed notes that an event went out.
func (r *relay) passed(now time.Time) {
	if r.events > 0 {
		r.longest = max(r.longest, now.Sub(r.latest))
	}
	r.events++
	r.latest = now
}

func (r *relay) pause() time.Duration { return pauseOf(r.first, r.latest, r.events) }

// take passes an answer on. Errors are of type *SendError when another target
// may be tried.
func (x *exchange) take(ctx context.Context, a *Answer, onFirst func()) error {
	switch {
	case a.Status >= http.StatusInternalServerError:
		return x.takeFailure(a)
	case !a.Genuine:
		return x.broken(errNotGenuine)
	case a.Status < http.StatusMultipleChoices && x.route.Kind == fleet.Stream:
		return x.takeStream(ctx, a, onFirst)
	default:
		return x.takeWhole(ctx, a, onFirst)
	}
}

// broken is the error of a send that may have run.
func (x *exchange) broken(cause error) error {
	return &SendError{Proof: MayHaveRun, Cause: cause}
}

// takeFailure keeps a server error, which is passed on unless another target
// answers.
func (x *exchange) takeFailure(a *Answer) error {
	body, err := readWhole(a.Body)
	if err != nil {
		return x.broken(err)
	}
	if a.Genuine && !x.relay.begun {
		x.relay.failure = &wholeAnswer{a.Status, a.Header, body}
	}
	return x.broken(errServerError)
}

func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxWholeBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCutOff, err)
	}
	if len(data) > maxWholeBody {
		return nil, fmt.Errorf("answer exceeds %d bytes", maxWholeBody)
	}
	return data, nil
}

func (x *exchange) takeWhole(_ context.Context, a *Answer, onFirst func()) error {
	onFirst()
	body, err := readWhole(a.Body)
	if err != nil {
		return x.broken(err)
	}
	x.deliver(&wholeAnswer{a.Status, a.Header, body})
	return nil
}

func (x *exchange) deliver(w *wholeAnswer) {
	x.relay.begun = true
	x.relay.first = x.server.Clock.Now()
	x.caller.Begin(w.status, w.header, int64(len(w.body)))
	// The end of the caller's connection shows in its context.
	_ = x.caller.Write(w.body)
}

// takeStream passes events on as they come, whole ones only.
func (x *exchange) takeStream(ctx context.Context, a *Answer, onFirst func()) error {
	x.relay.stream = true
	var pending []byte
	buffer := make([]byte, readBytes)
	reported := false
	for {
		n, err := a.Body.Read(buffer)
		x.silence.heard(max(gapSilence*x.route.GapAim, minSilent))
		pending = append(pending, buffer[:n]...)
		whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			if !reported {
				onFirst()
				reported = true
			}
			if err := x.passOn(a, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && x.relay.begun:
			return nil
		case err != nil:
			return x.broken(fmt.Errorf("%w after event %d: %w", errCutOff, x.relay.last, err))
		case ctx.Err() != nil:
			return x.broken(context.Cause(ctx))
		}
	}
}

// eventEnd ends an event of text/event-stream.
var eventEnd = []byte("\n\n")

// passOn sends whole events that the caller has not yet got.
func (x *exchange) passOn(a *Answer, events []byte) error {
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		if err := x.passEvent(a, events[:end]); err != nil {
			return err
		}
		events = events[end:]
	}
	return nil
}

func (x *exchange) passEvent(a *Answer, e []byte) error {
	id, numbered := eventID(e)
	if numbered && x.relay.last > 0 && id != x.relay.last+1 {
		return x.broken(fmt.Errorf("%w: %d after %d", errOrder, id, x.relay.last))
	}
	now := x.server.Clock.Now()
	if !x.relay.begun {
		x.relay.begun = true
		x.relay.first = now
		x.caller.Begin(a.Status, a.Header, a.Length)
		x.server.Metrics.First(string(x.service), now.Sub(x.request.Arrived))
	}
	if err := x.caller.Write(e); err != nil {
		return errkind.Wrap(errors.Join(errCallerLeft, err), errkind.CancelledWhileRun, "the caller left")
	}
	if numbered {
		x.relay.last = id
	}
	x.relay.passed(now)
	return nil
}

// eventID returns the number in the id field of an event.
func eventID(e []byte) (int64, bool) {
	for line := range bytes.Lines(e) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
