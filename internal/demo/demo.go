// Package demo runs three hosts, four stand-in targets and the stand-ins of the other
// services in one process. It sends a few requests and checks the results against the
// records of the targets.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	prompt       = "Condition of the enamel sign of 1931: rust on the lower rim, two chips in the cobalt field."
	confirmBody  = `{"commission":17}`
	answerTokens = 24
	deskDelay    = 5 * time.Millisecond
)

// decodeSteps are the times per decoding step of the engines.
var decodeSteps = []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond}

// hosts are the hosts of the demo with their failure domains.
var hosts = []struct{ name, domain string }{{"h1", "a"}, {"h2", "b"}, {"h3", "a"}}

// Run starts the hosts, publishes a configuration, sends a streaming request and a
// non-idempotent call, retries the call with the same key, and writes the results and
// the traces to w. It returns an error if a step or a check fails.
func Run(ctx context.Context, w io.Writer) error {
	spans := tracetest.NewInMemoryExporter()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	otel.SetTracerProvider(tracer)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	h, err := start(tracer)
	if err != nil {
		return err
	}
	defer h.Close()
	if err := sendRequests(ctx, h, w); err != nil {
		return err
	}
	fmt.Fprintln(w, "\ntrace:")
	return printTraces(w, spans.GetSpans())
}

// start starts the harness with the targets and hosts of the demo.
func start(tracer trace.TracerProvider) (*harness.Harness, error) {
	h, err := harness.New(harness.Options{Tracer: tracer, StopBound: time.Minute})
	if err != nil {
		return nil, err
	}
	if err := populate(h); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// populate adds the targets and starts the hosts.
func populate(h *harness.Harness) error {
	for i, step := range decodeSteps {
		domain := hosts[i%len(hosts)].domain
		if _, err := h.AddEngine(fmt.Sprintf("engine-%d", i+1), domain, engine.Options{Step: step}); err != nil {
			return err
		}
	}
	if _, err := h.AddPlain("desk-1", hosts[0].domain, plain.Options{Delay: deskDelay}); err != nil {
		return err
	}
	for _, host := range hosts {
		if _, err := h.StartHost(host.name, host.domain); err != nil {
			return err
		}
	}
	return nil
}

// sendRequests publishes the configuration, sends the requests and checks the results.
func sendRequests(ctx context.Context, h *harness.Harness, w io.Writer) error {
	if err := h.Configure(ctx, hosts[0].name); err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	host, err := h.Host(hosts[0].name)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "published version %d: 2 services, one operation of them non-idempotent, 3 tiers, 2 customers, %d engines, 1 desk\n", host.Version(), len(decodeSteps))
	if err := sendStream(ctx, h, w); err != nil {
		return fmt.Errorf("streaming request: %w", err)
	}
	if err := confirmTwice(ctx, h, w); err != nil {
		return fmt.Errorf("confirmation: %w", err)
	}
	return audit(h, w)
}

// sendStream sends a streaming request and writes its result to w.
func sendStream(ctx context.Context, h *harness.Harness, w io.Writer) error {
	r, err := send(ctx, h, hosts[0].name, harness.Request{
		Name: "report", CustomerKey: harness.MuseumKey, Service: harness.ModelService,
		Body: prompt, MaxTokens: answerTokens, Tier: harness.TierUrgent,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "stream  %s target=%s tier=%s first_token=%s tokens=%d outcome=complete\n",
		r.ID, targetOf(h, r.ID), harness.TierUrgent, r.FirstByte.Sub(r.Sent).Round(time.Millisecond), r.Tokens)
	return nil
}

// confirmTwice sends a call through one host and retries it through another one. It
// checks that both return the same answer of the same request.
func confirmTwice(ctx context.Context, h *harness.Harness, w io.Writer) error {
	call := harness.Request{
		Name: "confirmation", CustomerKey: harness.MuseumKey, Service: harness.PlainService,
		Operation: harness.OperationConfirm, Body: confirmBody, Key: uuid.Must(uuid.NewV7()).String(),
	}
	first, err := confirm(ctx, h, w, hosts[0].name, call)
	if err != nil {
		return err
	}
	second, err := confirm(ctx, h, w, hosts[1].name, call)
	if err != nil {
		return err
	}
	if first.Text != second.Text || first.ID != second.ID {
		return fmt.Errorf("the retry received %q from request %s, the first call %q from request %s", second.Text, second.ID, first.Text, first.ID)
	}
	fmt.Fprintln(w, "the retry of the confirmation received the same answer")
	return nil
}

// confirm sends a non-idempotent call and writes its result to w.
func confirm(ctx context.Context, h *harness.Harness, w io.Writer, host string, call harness.Request) (harness.Result, error) {
	r, err := send(ctx, h, host, call)
	if err != nil {
		return r, err
	}
	fmt.Fprintf(w, "confirm %s gate=%s target=%s tier=%s status=%d answer_in=%s outcome=complete\n",
		r.ID, host, targetOf(h, r.ID), harness.TierNormal, r.Status, r.Ended.Sub(r.Sent).Round(time.Millisecond))
	return r, nil
}

// send sends a request and waits for the complete answer. It returns an error if the
// request fails.
func send(ctx context.Context, h *harness.Harness, host string, r harness.Request) (harness.Result, error) {
	c, err := h.Send(host, r)
	if err != nil {
		return harness.Result{}, err
	}
	select {
	case <-c.Done():
	case <-ctx.Done():
		return c.Result(), ctx.Err()
	}
	if result := c.Result(); !result.Complete {
		return result, fmt.Errorf("request %s ended with %s: %s", result.ID, result.Kind, result.Detail)
	}
	return c.Result(), nil
}

// audit compares the results of the callers with the records of the targets and returns
// an error if a guarantee was violated.
func audit(h *harness.Harness, w io.Writer) error {
	runs := 0
	for _, run := range h.Runs() {
		runs += run.Runs
	}
	if violations := h.Audit(); len(violations) > 0 {
		return fmt.Errorf("%d guarantees were violated, the first: %s", len(violations), violations[0])
	}
	fmt.Fprintf(w, "audit: %d calls, %d runs at the targets, every answer complete and correct\n", len(h.Calls()), runs)
	return nil
}

// targetOf returns the first target that ran a request according to the targets' records;
// empty if none did.
func targetOf(h *harness.Harness, id tables.RequestID) tables.TargetID {
	if targets := h.Runs()[id].Targets; len(targets) > 0 {
		return targets[0]
	}
	return ""
}
