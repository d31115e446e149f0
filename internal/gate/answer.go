package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// answerWriter writes the answer of one request to its caller.
type answerWriter struct {
	g           *Gate
	w           http.ResponseWriter
	arrived     time.Time
	started     bool
	tier        int
	tokens      int
	firstToken  time.Duration
	lastTokenAt time.Time
}

// tokenEvent is the data of a "token" event.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// doneEvent is the data of the "done" event that ends a complete answer.
type doneEvent struct {
	Tokens int    `json:"tokens"`
	Target string `json:"target"`
}

// errorEvent is the data of the "error" event that ends an incomplete answer.
type errorEvent struct {
	Kind   errkind.Kind     `json:"kind"`
	Ran    errkind.RanState `json:"ran"`
	Detail string           `json:"detail"`
}

// sendRequestID sends the request ID in an informational response before the
// answer, so that a caller that loses its connection can look up the outcome.
func (a *answerWriter) sendRequestID(id tables.RequestID) {
	a.w.Header().Set(headerRequestID, string(id))
	a.w.WriteHeader(http.StatusProcessing)
}

// writeCall waits for the outcome of a plain call and writes its response.
func (a *answerWriter) writeCall(ctx context.Context, rs *requestState) error {
	outcome, err := rs.wait(ctx)
	if err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the caller left")
	}
	if err := finishedError(outcome); err != nil {
		return err
	}
	a.started = true
	a.firstToken = a.g.Clock.Now().Sub(a.arrived)
	a.w.Header().Set("Content-Type", "application/json")
	if len(outcome.Body) > 0 {
		// A caller of HTTP/1.0 gets no chunks and could not tell a part from the whole.
		a.w.Header().Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	}
	a.w.WriteHeader(statusOrOK(outcome.Status))
	_, _ = a.w.Write(outcome.Body)
	return nil
}

func statusOrOK(status int) int {
	if status == 0 {
		return http.StatusOK
	}
	return status
}

// writeStream writes the answer of a model as server-sent events. Only an answer
// that ends with a "done" event is complete.
func (a *answerWriter) writeStream(ctx context.Context, rs *requestState) error {
	next := 0
	for {
		snap := rs.snapshotFrom(next)
		for _, c := range snap.chunks {
			next++
			a.tokens += c.Tokens
			a.recordTokenGap()
			a.writeEvent("token", tokenEvent{Offset: c.Offset, Text: c.Text, Tokens: c.Tokens})
		}
		if snap.outcome != nil {
			return a.finish(*snap.outcome)
		}
		select {
		case <-snap.changed:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.CancelledWhileRunning, "the caller left")
		}
	}
}

// recordTokenGap reports the time since the previous chunk to the observer.
func (a *answerWriter) recordTokenGap() {
	now := a.g.Clock.Now()
	if !a.lastTokenAt.IsZero() {
		a.g.Observer.TokenGap(a.tier, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// finish writes the event that ends the stream. It always returns the error of
// the outcome; if no event was written before, the caller of finish turns the
// error into an HTTP status.
func (a *answerWriter) finish(outcome peer.Finished) error {
	err := finishedError(outcome)
	switch {
	case err == nil:
		a.writeEvent("done", doneEvent{Tokens: outcome.Tokens, Target: string(outcome.Target)})
	case a.started:
		a.writeEvent("error", errorEvent{Kind: outcome.Kind, Ran: outcome.Kind.Answer().Ran, Detail: outcome.Detail})
	}
	return err
}

func (a *answerWriter) writeEvent(name string, data any) {
	a.start()
	raw, err := json.Marshal(data)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", name, raw)
	// A flush error is ignored: the caller has disconnected, which also cancels
	// the context of the request.
	_ = http.NewResponseController(a.w).Flush()
}

func (a *answerWriter) start() {
	if a.started {
		return
	}
	a.started = true
	a.firstToken = a.g.Clock.Now().Sub(a.arrived)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func extractTrace(r *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}
