package observe_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/observe"
)

func TestObserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observe")
}

var _ = Describe("NewLogger", func() {
	It("writes one JSON object per line and discards lines below the level", func() {
		var out bytes.Buffer
		logger := observe.NewLogger(&out, zapcore.WarnLevel)
		event.PeerUp.Log(logger)
		event.PeerDown.Log(logger, zap.String("host", "entry-1"))
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("event", float64(1202)))
		Expect(line).To(HaveKeyWithValue("host", "entry-1"))
		Expect(line).To(HaveKey("time"))
	})
})

var _ = Describe("NewTracer", func() {
	It("writes spans with service, host and parent to the file", func() {
		file := filepath.Join(GinkgoT().TempDir(), "spans.json")
		provider, shutdown, err := observe.NewTracer(file, "bluebell-gate", "entry-1")
		Expect(err).NotTo(HaveOccurred())
		ctx, span := provider.Tracer("test").Start(context.Background(), "gate.generate",
			trace.WithAttributes(observe.AttributeRequest.String("entry-1.x")))
		carrier := propagation.MapCarrier{}
		otel.GetTextMapPropagator().Inject(ctx, carrier)
		Expect(carrier["traceparent"]).To(ContainSubstring(span.SpanContext().TraceID().String()))
		span.End()
		Expect(shutdown(context.Background())).To(Succeed())
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(And(ContainSubstring("gate.generate"), ContainSubstring("bluebell-gate"), ContainSubstring("entry-1.x")))
	})
	It("propagates the trace context when spans are disabled", func() {
		provider, shutdown, err := observe.NewTracer("", "bluebell-gate", "entry-1")
		Expect(err).NotTo(HaveOccurred())
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
		ctx, span := provider.Tracer("test").Start(ctx, "hop")
		defer span.End()
		carrier := propagation.MapCarrier{}
		otel.GetTextMapPropagator().Inject(ctx, carrier)
		Expect(carrier["traceparent"]).To(Equal(parent))
		Expect(shutdown(context.Background())).To(Succeed())
	})
	It("returns an error with the name of a file that it cannot open", func() {
		_, _, err := observe.NewTracer(filepath.Join(GinkgoT().TempDir(), "no", "spans"), "s", "h")
		Expect(err).To(MatchError(ContainSubstring("no/spans")))
	})
})

var _ = Describe("docs/metrics.md", func() {
	It("matches the generated text", func() {
		var want bytes.Buffer
		Expect(observe.WriteMarkdown(&want)).To(Succeed())
		page, err := os.ReadFile("../../docs/metrics.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(want.String()))
	})
})
