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
	shortest = int64(time.Microsecond)
	longest  = int64(time.Minute)
	digits   = 3
)

// BenchmarkAddedLatency sends the same idempotent call in turn straight to the
// service and through gate and dispatcher of different hosts, and reports the
// medians of both and of their difference.
func BenchmarkAddedLatency(b *testing.B) {
	h, err := harness.New(harness.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	desk, err := h.AddPlain("p1", "b", plain.Options{})
	if err != nil {
		b.Fatal(err)
	}
	startHosts(b, h)
	direct := hdrhistogram.New(shortest, longest, digits)
	path := hdrhistogram.New(shortest, longest, digits)
	client := target.NewPlainClient(desk.Address, harness.PlainService)
	b.ResetTimer()
	for range b.N {
		record(b, direct, func() error { return callDirect(client) })
		record(b, path, func() error { return callThrough(h) })
	}
	d, p := micros(direct), micros(path)
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

func record(b *testing.B, into *hdrhistogram.Histogram, call func() error) {
	b.Helper()
	begun := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	if err := into.RecordValue(int64(time.Since(begun))); err != nil {
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

func callThrough(h *harness.Harness) error {
	c, err := h.Send("h1", harness.Request{
		CustomerKey: harness.MuseumKey, Service: harness.PlainService,
		Operation: harness.OperationStatus, Body: `{"job":1}`,
	})
	if err != nil {
		return err
	}
	<-c.Done()
	if r := c.Result(); !r.Whole {
		return &unfinished{r}
	}
	return nil
}

// unfinished is a call without a whole answer.
type unfinished struct {
	result harness.Result
}

// Error tells the kind.
func (u *unfinished) Error() string { return string(u.result.Kind) + ": " + u.result.Detail }

func micros(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(50)) / float64(time.Microsecond)
}
