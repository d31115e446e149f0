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
	"github.com/bluebellseam/bluebellseam/internal/stall"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Guards against a stream of two versions: while its coordinator was paused, another one has granted
// it again at another version, and the paused one answers before its timer notices the pause.
var _ = Describe("A coordinator that has just resumed after a pause", func() {
	It("refuses a stream of which the asking host has heard another version", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewFakeClock()
		self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
		peers := peer.NewPool(ctx, peer.Hello{Host: self.ID}, peer.NewMux(), clock)
		deployment := &view{config: fleet.NewConfig(1)}
		for _, v := range []tables.SoftwareVersion{"v1", "v2"} {
			deployment.targets = append(deployment.targets, fleet.Target{ID: tables.TargetID("t-" + v), Service: "s", Address: string(v), Version: v, Slots: 4})
		}
		whole := func() float64 { return 1 }
		coordinator := NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		coordinator.Origins = NewOrigins(clock)
		coordinator.Origins.Observe(nil, deployment.targets)
		coordinator.Origins.begin(origin.StreamIDOf("a"), "v1", "")
		client := NewClient(self, links.New(self, peers, clock, zap.NewNop()), coordinator, coordinator, 1, time.Second, clock, zap.NewNop())
		stalls := stall.New(clock, func() time.Duration { return 0 })
		stalls.OnResume = func(time.Duration) {
			coordinator.Resume()
		}
		client.ResumedSince = stalls.ResumedSince
		mux := peer.NewMux()
		client.Register(mux)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, listener, mux, "", clock) }()
		conn, err := peers.Get(ctx, listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())

		// The pause.
		clock.Advance(3 * time.Second)
		heard := tables.SoftwareVersion("v2")
		m := slotRequestMessage{ID: 9, Service: "s", Request: "b", FirstAttempt: "a", Resumable: true, Resumed: true, Heard: &heard, FirstByteBudgetMS: 400}
		err = conn.Call(ctx, methodRequestSlot, m, &grantMessage{})
		Expect(err).To(MatchError(ContainSubstring("origin_unknown")))
	})
})
