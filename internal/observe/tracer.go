package observe

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// TraceToStdout is the trace file name that selects standard output.
const TraceToStdout = "-"

// traceFileMode denies other users access, because spans contain customer names.
const traceFileMode = 0o600

// Attribute keys of spans.
const (
	AttributeRequest = attribute.Key("bluebell.request_id")
	AttributeTier    = attribute.Key("bluebell.tier")
	AttributeTarget  = attribute.Key("bluebell.target")
	// AttributeQueueMillis is the time in the dispatcher's queue, in milliseconds.
	AttributeQueueMillis = attribute.Key("bluebell.queue_ms")
	// AttributeKind is the error kind of the outcome; empty on success.
	AttributeKind = attribute.Key("bluebell.kind")
)

// NewTracer returns the tracer provider of a process and a function that flushes and
// closes it. An empty traceFile disables spans; the W3C trace context is propagated in
// both cases.
func NewTracer(traceFile, service string, host tables.HostID) (trace.TracerProvider, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if traceFile == "" {
		disabled := noop.NewTracerProvider()
		otel.SetTracerProvider(disabled)
		return disabled, func(context.Context) error { return nil }, nil
	}
	out, err := openTraceFile(traceFile)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("trace exporter for %q: %w", traceFile, err), out.Close())
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("host.name", string(host)),
		)),
	)
	otel.SetTracerProvider(provider)
	shutdown := func(ctx context.Context) error {
		return errors.Join(provider.Shutdown(ctx), out.Close())
	}
	return provider, shutdown, nil
}

func openTraceFile(name string) (io.WriteCloser, error) {
	if name == TraceToStdout {
		return nopCloser{os.Stdout}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	return f, nil
}

// nopCloser is a writer whose Close does nothing, so that standard output stays open.
type nopCloser struct{ io.Writer }

// Close returns nil without closing the writer.
func (nopCloser) Close() error { return nil }
