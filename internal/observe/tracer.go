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

// TraceToStdout as the trace file writes spans to standard output.
const TraceToStdout = "-"

// traceFileMode keeps spans, which name customers, from other users.
const traceFileMode = 0o600

// Attribute keys of spans, besides the names of the hops.
const (
	AttributeRequest = attribute.Key("bluebell.request_id")
	AttributeTier    = attribute.Key("bluebell.tier")
	AttributeTarget  = attribute.Key("bluebell.target")
	// AttributeQueueMillis is the time in the dispatcher's queue in milliseconds.
	AttributeQueueMillis = attribute.Key("bluebell.queue_ms")
	// AttributeKind is the outcome's error kind; empty on success.
	AttributeKind = attribute.Key("bluebell.kind")
)

// NewTracer returns the source of spans of one process and the function that
// writes out the last of them. An empty traceFile turns spans off; the W3C
// trace context is carried on in both cases.
func NewTracer(traceFile, service string, host tables.HostID) (trace.TracerProvider, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if traceFile == "" {
		off := noop.NewTracerProvider()
		otel.SetTracerProvider(off)
		return off, func(context.Context) error { return nil }, nil
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
		return keepOpen{os.Stdout}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	return f, nil
}

// keepOpen is a writer that Close leaves open.
type keepOpen struct{ io.Writer }

// Close does nothing.
func (keepOpen) Close() error { return nil }
