package gate

import (
	"context"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// runningDispatcher runs every request that a gate attaches to. It keeps the
// connections on which the gate attached to each request.
type runningDispatcher struct {
	mu       sync.Mutex
	attached map[tables.RequestID][]*peer.Conn
}

func (d *runningDispatcher) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodAttach, func(_ context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.attached[q.ID] = append(d.attached[q.ID], conn)
		return peer.AttachResult{Known: true}, nil
	})
	return m
}

func (d *runningDispatcher) connsOf(id tables.RequestID) []*peer.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*peer.Conn(nil), d.attached[id]...)
}

var _ = Describe("Two requests that lost the same connection to their dispatcher", func() {
	It("do not close each other's new connection", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewRealClock()
		dispatcher := &runningDispatcher{attached: make(map[tables.RequestID][]*peer.Conn)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, dispatcher.mux(), "k", clock) }()
		notifications := peer.NewMux()
		g := New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: singleHost{l.Addr().String()}, Observer: discardObserver{},
			Peers: peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, notifications, clock),
		})
		g.Register(notifications)
		lost, err := g.Peers.Get(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		reattach := func(id tables.RequestID) (*requestState, <-chan bool) {
			rs := g.register(newRequestState(g, admittedRequest{msg: peer.Submit{ID: id}}))
			rs.setSource(lost)
			done := make(chan bool, 1)
			go func() { done <- g.reattach(rs, "h1") }()
			Eventually(func() []*peer.Conn { return dispatcher.connsOf(id) }, "10s").Should(HaveLen(1))
			return rs, done
		}
		Expect(lost.Close()).To(Succeed())
		first, firstDone := reattach("h2.first")
		_, secondDone := reattach("h2.second")
		for _, id := range []tables.RequestID{"h2.first", "h2.second"} {
			conns := dispatcher.connsOf(id)
			Expect(conns).To(HaveLen(1))
			conns[0].NotifyAsync(peer.NotifyFinished, peer.Finished{ID: id})
		}
		Eventually(firstDone, "10s").Should(Receive(BeTrue()))
		Eventually(secondDone, "10s").Should(Receive(BeTrue()))
		Expect(first.snapshotFrom(0).outcome.Kind).To(Equal(errkind.None))
		Expect(dispatcher.connsOf("h2.first")).To(HaveLen(1))
	})
})
