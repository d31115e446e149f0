package pool

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("A client whose slot was not used", func() {
	var ctx context.Context
	var client *Client
	var peers *peer.Pool
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewFakeClock()
		self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
		peers = peer.NewPool(ctx, peer.Hello{Host: self.ID}, peer.NewMux(), clock)
		hosts := links.New(self, peers, clock, zap.NewNop())
		hosts.SetHosts([]fleet.Host{self})
		deployment := &view{config: fleet.NewConfig(1), targets: []fleet.Target{{ID: "t", Service: "s", Address: "t", Slots: 4}}}
		whole := func() float64 { return 1 }
		coordinator := NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		client = NewClient(self, hosts, coordinator, coordinator, 1, time.Second, clock, zap.NewNop())
	})

	It("reports a slot request that it withdrew from another host as unused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		searching, withdraw := context.WithCancel(ctx)
		mux := peer.NewMux()
		peer.Handle(mux, methodRequestSlot, func(ctx context.Context, _ *peer.Conn, _ slotRequestMessage) (grantMessage, error) {
			withdraw()
			<-ctx.Done()
			return grantMessage{}, ctx.Err()
		})
		go func() { _ = peer.Serve(ctx, listener, mux, "", clockwork.NewFakeClock()) }()
		conn, err := peers.Get(ctx, listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		live := links.LiveHost{Host: fleet.Host{ID: "coordinator"}, Conn: conn}
		_, err = client.acquireRemote(searching, live, slotRequestMessage{ID: 9, Service: "s"})
		Expect(err).To(HaveOccurred())
		client.mu.Lock()
		defer client.mu.Unlock()
		Expect(client.outbox["coordinator"].Releases).To(Equal([]releaseReport{{ID: 9, Service: "s", Outcome: allocation.Unused}}))
	})

	It("does not tell a new coordinator of tokens that were not used", func() {
		acquire := func(tokens int) *Grant {
			grant, err := client.Acquire(ctx, SlotRequest{Service: "s", Customer: "c", QuotaTokens: tokens, FirstByteBudget: time.Second, MaxWait: time.Second})
			Expect(err).NotTo(HaveOccurred())
			return grant
		}
		used, unused := acquire(30), acquire(50)
		used.Release(allocation.Succeeded, 0)
		unused.Release(allocation.Unused, 0)
		unused.Release(allocation.Unused, 0)
		Expect(client.newReconcileMessage().UsedTokens).To(Equal(map[tables.CustomerID]float64{"c": 30}))
	})
})
