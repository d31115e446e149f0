package harness_test

import (
	"context"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 3
)

// BenchmarkAddedLatency alternates an idempotent call that goes directly to a plain
// service with the same call through the gate of one host and the dispatcher of
// another. It reports both median latencies, their difference and their ratio.
func BenchmarkAddedLatency(b *testing.B) {
	h, err := harness.New(harness.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	service, err := h.AddPlain("p1", "b", plain.Options{})
	if err != nil {
		b.Fatal(err)
	}
	startHosts(b, h)
	direct := hdrhistogram.New(minLatency, maxLatency, significantDigits)
	proxied := hdrhistogram.New(minLatency, maxLatency, significantDigits)
	client := target.NewPlainClient(service.Address, harness.PlainService)
	b.ResetTimer()
	for range b.N {
		record(b, direct, func() error { return callDirect(client) })
		record(b, proxied, func() error { return callThroughHosts(h) })
	}
	d, p := medianMicros(direct), medianMicros(proxied)
	b.ReportMetric(d, "direct-p50-us")
	b.ReportMetric(p, "path-p50-us")
	b.ReportMetric(p-d, "added-p50-us")
	b.ReportMetric(p/d, "path/direct")
}

func startHosts(b *testing.B, h *harness.Harness) {
	b.Helper()
	for name, domain := range map[string]string{"h1": "a", "h2": "b"} {
		if _, err := h.StartHost(name, domain); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := h.Configure(ctx, "h1"); err != nil {
		b.Fatal(err)
	}
}

func record(b *testing.B, histogram *hdrhistogram.Histogram, call func() error) {
	b.Helper()
	start := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	if err := histogram.RecordValue(int64(time.Since(start))); err != nil {
		b.Fatal(err)
	}
}

func callDirect(client *target.PlainClient) error {
	_, err := client.Call(context.Background(), target.Call{
		ID: tables.NewRequestID("direct", uuid.Must(uuid.NewV7())), Service: harness.PlainService,
		Operation: harness.OperationStatus, Body: []byte(`{"job":1}`), Timeout: time.Minute,
	})
	return err
}

func callThroughHosts(h *harness.Harness) error {
	c, err := h.Send("h1", harness.Request{
		CustomerKey: harness.MuseumKey, Service: harness.PlainService,
		Operation: harness.OperationStatus, Body: `{"job":1}`,
	})
	if err != nil {
		return err
	}
	<-c.Done()
	if r := c.Result(); !r.Complete {
		return &incompleteError{r}
	}
	return nil
}

// incompleteError is the error of a call that ended without a complete answer.
type incompleteError struct {
	result harness.Result
}

// Error returns the kind and detail of the result.
func (e *incompleteError) Error() string { return string(e.result.Kind) + ": " + e.result.Detail }

func medianMicros(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(50)) / float64(time.Microsecond)
}
