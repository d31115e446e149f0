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

// slowHome is the home of all keys. The first request wins, but is told so only
// when told is closed; later ones learn its ID at once.
type slowHome struct {
	won  chan tables.RequestID
	told chan struct{}
}

func (s slowHome) mux() *peer.Mux {
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
		<-s.told
		return peer.AcquireResult{Won: true, Holder: q.Request}, nil
	})
	peer.Handle(m, peer.MethodRecord, func(context.Context, *peer.Conn, peer.Record) (struct{}, error) { return struct{}{}, nil })
	return m
}

var _ = Describe("A repeat at the gate of a request that does not know yet that it won its key", func() {
	It("joins the flight of that request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewRealClock()
		home := slowHome{won: make(chan tables.RequestID, 1), told: make(chan struct{})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, home.mux(), "k", clock) }()
		g := New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: oneHost{l.Addr().String()}, ClaimShards: 1,
			Observer: ignored{},
			Peers:    peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, peer.NewMux(), clock),
			Current:  func() follow.Snapshot { return follow.Snapshot{Version: 1, Document: &config.Document{}} },
		})
		ask := func(id tables.RequestID) admitted {
			return admitted{
				msg:  peer.Submit{ID: id, Service: "desk", Plain: true, Key: "01890a5d-ac96-774b-bcce-b302099a8057", DueIn: 1},
				pick: func() []route.Choice { return nil }, arrived: clock.Now(),
			}
		}
		first := make(chan *flight, 1)
		go func() {
			defer GinkgoRecover()
			f, err := g.begin(ctx, ask("h2.first"))
			Expect(err).NotTo(HaveOccurred())
			first <- f
		}()
		Eventually(home.won, "10s").Should(Receive())
		joined, err := g.begin(ctx, ask("h2.second"))
		Expect(err).NotTo(HaveOccurred())
		close(home.told)
		var winner *flight
		Eventually(first, "10s").Should(Receive(&winner))
		Expect(joined).To(BeIdenticalTo(winner))
		end, err := joined.wait(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(end.Kind).To(Equal(errkind.NoTarget))
		g.open.Wait()
	})
})

// ignored is an Observer that does nothing.
type ignored struct{ Observer }

func (ignored) Opened()                    {}
func (ignored) Closed()                    {}
func (ignored) Claimed(bool, errkind.Kind) {}
