package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// answer writes one answer to its caller.
type answer struct {
	g          *Gate
	w          http.ResponseWriter
	arrived    time.Time
	begun      bool
	tier       int
	tokens     int
	firstToken time.Duration
	lastToken  time.Time
}

// tokenEvent is the data of a "token" event.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// doneEvent is the data of the "done" event that ends a whole answer.
type doneEvent struct {
	Tokens int    `json:"tokens"`
	Target string `json:"target"`
}

// errorEvent is the data of the "error" event that ends a broken answer.
type errorEvent struct {
	Kind   errkind.Kind `json:"kind"`
	Ran    errkind.Ran  `json:"ran"`
	Detail string       `json:"detail"`
}

// announce sends the request ID ahead of the answer, so that a caller that
// loses its gate can look the outcome up.
func (a *answer) announce(id tables.RequestID) {
	a.w.Header().Set(headerRequestID, string(id))
	a.w.WriteHeader(http.StatusProcessing)
}

// writeCall writes the whole answer of a plain call.
func (a *answer) writeCall(ctx context.Context, f *flight) error {
	end, err := f.wait(ctx)
	if err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the caller left")
	}
	if err := finishedError(end); err != nil {
		return err
	}
	a.begun = true
	a.firstToken = a.g.Clock.Now().Sub(a.arrived)
	a.w.Header().Set("Content-Type", "application/json")
	a.w.WriteHeader(statusOr(end.Status))
	_, _ = a.w.Write(end.Body)
	return nil
}

func statusOr(status int) int {
	if status == 0 {
		return http.StatusOK
	}
	return status
}

// writeStream writes the answer of a model as server-sent events. An answer
// without a "done" event is not whole.
func (a *answer) writeStream(ctx context.Context, f *flight) error {
	next := 0
	for {
		p := f.since(next)
		for _, c := range p.chunks {
			next++
			a.tokens += c.Tokens
			a.countGap()
			a.event("token", tokenEvent{Offset: c.Offset, Text: c.Text, Tokens: c.Tokens})
		}
		if p.outcome != nil {
			return a.finish(*p.outcome)
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.CancelledWhileRunning, "the caller left")
		}
	}
}

// countGap reports the time since the last part of the answer.
func (a *answer) countGap() {
	now := a.g.Clock.Now()
	if !a.lastToken.IsZero() {
		a.g.Observer.TokenGap(a.tier, now.Sub(a.lastToken))
	}
	a.lastToken = now
}

// finish ends a stream. A refusal before the first event is returned, so that
// it becomes a status of its own.
func (a *answer) finish(end peer.Finished) error {
	err := finishedError(end)
	switch {
	case err == nil:
		a.event("done", doneEvent{Tokens: end.Tokens, Target: string(end.Target)})
	case a.begun:
		a.event("error", errorEvent{Kind: end.Kind, Ran: end.Kind.Answer().Ran, Detail: end.Detail})
	}
	return err
}

func (a *answer) event(name string, data any) {
	a.begin()
	raw, err := json.Marshal(data)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", name, raw)
	// A failed flush means that the caller left, which ends the context.
	_ = http.NewResponseController(a.w).Flush()
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.firstToken = a.g.Clock.Now().Sub(a.arrived)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func extractTrace(r *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}
