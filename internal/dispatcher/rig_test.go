package dispatcher_test

import (
	"context"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// rig is a running dispatcher with fake dependencies and the connection of one
// gate.
type rig struct {
	ctx  context.Context
	deps *fakeDeps
	gate *fakeGate
	d    *dispatcher.Dispatcher
	conn *peer.Conn
}

func newRig() *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{ctx: ctx, gate: &fakeGate{}, deps: &fakeDeps{engine: &fakeEngine{
		cancel: func() (target.Progress, error) { return target.NotKnown, nil },
		resume: func(int) (target.Stream, error) { return nil, errNoStream },
	}}}
	clock := clockwork.NewRealClock()
	r.d = dispatcher.New(ctx, dispatcher.Options{
		Host: "h1", Clock: clock, Logger: zap.NewNop(), Tracer: noop.NewTracerProvider().Tracer(""),
		Document:   r.deps.document,
		Membership: r.deps, Quarantine: r.deps, Outcomes: r.deps, Targets: r.deps, Observer: r.deps,
	})
	done := make(chan struct{})
	go func() {
		r.d.Run()
		close(done)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	mux := peer.NewMux()
	r.d.Register(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = peer.Serve(ctx, l, mux, peerKey, clock) }()
	pool := peer.NewPool(ctx, peer.Hello{Host: "g1", Key: peerKey}, r.gate.mux(), clock)
	r.conn, err = pool.Get(ctx, l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() []tables.TargetSummary { return r.d.Summary(ctx) }).WithTimeout(timeout).ShouldNot(BeEmpty())
	return r
}

func (r *rig) submitWith(change func(*peer.Submit)) (peer.Submit, peer.SubmitResult) {
	msg := peer.Submit{
		ID: tables.NewRequestID("g1", uuid.Must(uuid.NewV7())), Service: "report", Model: "m", Body: []byte("prompt"),
		FirstTokenIn: time.Minute, DueIn: time.Minute, MaxTokens: answerTokens, Allowed: []tables.TargetID{"e1"}, Fingerprint: 7,
	}
	change(&msg)
	var result peer.SubmitResult
	Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &result)).To(Succeed())
	return msg, result
}

func (r *rig) submit() (peer.Submit, peer.SubmitResult) { return r.submitWith(func(*peer.Submit) {}) }

func (r *rig) firstOutcome() peer.Finished {
	Eventually(r.gate.outcomes).WithTimeout(timeout).Should(HaveLen(1))
	return r.gate.outcomes()[0]
}
