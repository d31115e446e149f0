package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	demoHosts   = 3
	demoEngines = 3
	readyPoll   = 10 * time.Millisecond
	prompt      = "Condition of the enamel sign of 1931: rust on the lower rim, two chips in the cobalt field."
	answerSize  = 24
)

// Run starts a site, publishes a configuration, sends a streaming request and
// a non-idempotent call, repeats the call with the same key, and writes what
// happened to w. The error names the first check that did not hold.
func Run(ctx context.Context, w io.Writer) error {
	spans := tracetest.NewInMemoryExporter()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	otel.SetTracerProvider(tracer)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	s, err := startSite(demoHosts, demoEngines, tracer)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.publish(ctx, w); err != nil {
		return err
	}
	if err := s.stream(ctx, w); err != nil {
		return err
	}
	if err := s.confirmTwice(ctx, w); err != nil {
		return err
	}
	fmt.Fprintln(w, "\ntrace:")
	return printTraces(w, spans.GetSpans())
}

// operatorSource gives the operator's key to the generated client.
type operatorSource struct{}

// OperatorKey implements operators.SecuritySource.
func (operatorSource) OperatorKey(context.Context, operators.OperationName) (operators.OperatorKey, error) {
	return operators.OperatorKey{Token: operatorKey}, nil
}

func (s *site) publish(ctx context.Context, w io.Writer) error {
	client, err := operators.NewClient("http://"+s.controller.Address(), operatorSource{})
	if err != nil {
		return err
	}
	raw, err := json.Marshal(s.document())
	if err != nil {
		return err
	}
	var merge operators.PatchMerge
	if err := merge.UnmarshalJSON(raw); err != nil {
		return err
	}
	result, err := client.PublishPatch(ctx, &operators.Patch{PatchID: uuid.New(), Merge: merge}, operators.PublishPatchParams{})
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	fmt.Fprintf(w, "published version %d (2 services, 2 tiers, 2 customers, %d engines, 1 desk)\n", result.Version, len(s.engines))
	return s.waitInForce(ctx, uint64(result.Version))
}

func (s *site) waitInForce(ctx context.Context, version uint64) error {
	for {
		if s.inForce(version) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is not in force on every host: %w", version, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func (s *site) inForce(version uint64) bool {
	for _, g := range s.gates {
		if g.Version() < version || !g.Ready() {
			return false
		}
	}
	for _, d := range s.dispatchers {
		if d.Version() < version || !d.Ready() {
			return false
		}
	}
	return true
}

func (s *site) stream(ctx context.Context, w io.Writer) error {
	a, err := generate(ctx, "http://"+s.gates[0].Address(), prompt, answerSize)
	if err != nil {
		return fmt.Errorf("streaming request: %w", err)
	}
	fmt.Fprintf(w, "stream  %s target=%s tier=urgent first_token=%s tokens=%d outcome=%s\n", a.id, a.target, a.firstToken.Round(time.Millisecond), a.tokens, a.outcome())
	if want := engine.ExpectedAnswer(tables.RequestID(a.id), prompt, answerSize); a.text != want {
		return fmt.Errorf("answer of %s differs from what its engine made", a.id)
	}
	if n := s.dispatches(a.id); n != 1 {
		return fmt.Errorf("request %s was dispatched %d times", a.id, n)
	}
	return nil
}

// dispatches counts how often the engines got a request.
func (s *site) dispatches(id string) int {
	n := 0
	for _, e := range s.engines {
		n += e.Records().Requests[tables.RequestID(id)].Dispatches
	}
	return n
}

func (s *site) confirmTwice(ctx context.Context, w io.Writer) error {
	key := uuid.Must(uuid.NewV7()).String()
	first, err := s.confirm(ctx, w, 0, key)
	if err != nil {
		return err
	}
	second, err := s.confirm(ctx, w, 1, key)
	if err != nil {
		return err
	}
	if first.body != second.body || first.id != second.id {
		return fmt.Errorf("the repeated call got another answer: %q from %s and %q from %s", first.body, first.id, second.body, second.id)
	}
	if runs := s.desk.Records().RunsByOperation["confirm"]; runs != 1 {
		return fmt.Errorf("the confirmation ran %d times", runs)
	}
	fmt.Fprintln(w, "the repeated confirmation got the same answer; the desk ran it once")
	return nil
}

func (s *site) confirm(ctx context.Context, w io.Writer, gate int, key string) (callAnswer, error) {
	a, err := call(ctx, "http://"+s.gates[gate].Address(), "desk", "confirm", key, `{"commission":17}`)
	if err != nil {
		return a, fmt.Errorf("confirmation at gate %d: %w", gate+1, err)
	}
	fmt.Fprintf(w, "confirm %s gate=%d tier=normal status=%d answer_in=%s\n", a.id, gate+1, a.status, a.took.Round(time.Millisecond))
	if a.status != http.StatusOK {
		return a, fmt.Errorf("confirmation got status %d: %s", a.status, a.body)
	}
	return a, nil
}
