package gate

import (
	"context"
	"net"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// slowClaimHome is the home of all keys. It grants the key to the first request
// but delays that response until reply is closed. Later requests receive the ID
// of the holder immediately.
type slowClaimHome struct {
	won   chan tables.RequestID
	reply chan struct{}
}

func (s slowClaimHome) mux() *peer.Mux {
	m := peer.NewMux()
	holder := make(chan tables.RequestID, 1)
	peer.Handle(m, peer.MethodAcquire, func(_ context.Context, _ *peer.Conn, q peer.Acquire) (peer.AcquireResult, error) {
		select {
		case id := <-holder:
			holder <- id
			return peer.AcquireResult{Holder: id}, nil
		default:
		}
		holder <- q.Request
		s.won <- q.Request
		<-s.reply
		return peer.AcquireResult{Won: true, Holder: q.Request}, nil
	})
	peer.Handle(m, peer.MethodRecord, func(context.Context, *peer.Conn, peer.Record) (struct{}, error) { return struct{}{}, nil })
	return m
}

var _ = Describe("A retry at the same gate while the claim response of the first request is delayed", func() {
	It("joins the first request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewRealClock()
		home := slowClaimHome{won: make(chan tables.RequestID, 1), reply: make(chan struct{})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, home.mux(), "k", clock) }()
		g := New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: singleHost{l.Addr().String()}, ClaimShards: 1,
			Observer: discardObserver{},
			Peers:    peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, peer.NewMux(), clock),
			Current:  func() follow.Snapshot { return follow.Snapshot{Version: 1, Document: &config.Document{}} },
		})
		newAdmitted := func(id tables.RequestID) admittedRequest {
			return admittedRequest{
				msg:  peer.Submit{ID: id, Service: "desk", Plain: true, Key: "01890a5d-ac96-774b-bcce-b302099a8057", DueIn: 1},
				pick: func() []route.Choice { return nil }, arrived: clock.Now(),
			}
		}
		first := make(chan *requestState, 1)
		go func() {
			defer GinkgoRecover()
			rs, err := g.startOrJoin(ctx, newAdmitted("h2.first"))
			Expect(err).NotTo(HaveOccurred())
			first <- rs
		}()
		Eventually(home.won, "10s").Should(Receive())
		joined, err := g.startOrJoin(ctx, newAdmitted("h2.second"))
		Expect(err).NotTo(HaveOccurred())
		close(home.reply)
		var winner *requestState
		Eventually(first, "10s").Should(Receive(&winner))
		Expect(joined).To(BeIdenticalTo(winner))
		outcome, err := joined.wait(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Kind).To(Equal(errkind.NoTarget))
		g.activeWait.Wait()
	})
})

// discardObserver is an Observer that does nothing.
type discardObserver struct{ Observer }

func (discardObserver) RequestOpened()                    {}
func (discardObserver) RequestClosed()                    {}
func (discardObserver) ClaimAttempted(bool, errkind.Kind) {}
