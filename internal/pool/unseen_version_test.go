package pool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Guards against a stream of two versions: a coordinator took the only version that it had seen for
// the one that began a stream, while another one was listed already.
var _ = Describe("A stream of which nothing is known, at a coordinator that has seen one version", func() {
	var coordinator *Coordinator
	var targets []fleet.Target
	// reads counts the reads of the store; read is what the next one does.
	var reads int
	var read func() error
	targetOf := func(v tables.SoftwareVersion) fleet.Target {
		return fleet.Target{ID: tables.TargetID("t-" + v), Service: "s", Address: string(v), Version: v, Slots: 4}
	}
	BeforeEach(func() {
		clock := clockwork.NewRealClock()
		targets = []fleet.Target{targetOf("v1")}
		deployment := &view{config: fleet.NewConfig(1), targets: targets}
		whole := func() float64 { return 1 }
		coordinator = NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		origins := NewOrigins(clock)
		origins.Logger = zap.NewNop()
		origins.Observe(nil, targets)
		var readAt time.Time
		reads, read = 0, func() error { return nil }
		origins.ReadSince = func(at time.Time) bool { return !readAt.Before(at) }
		origins.Read = func(context.Context, time.Time) error {
			reads++
			if err := read(); err != nil {
				return err
			}
			readAt = clock.Now()
			return nil
		}
		coordinator.Origins = origins
		// The time after a takeover, in which refusals wait for reports of hosts.
		coordinator.lastContact = clock.Now()
	})
	takeUp := func(id allocation.ID) (grantMessage, error) {
		return coordinator.Acquire(context.Background(), slotRequestMessage{ID: id, Service: "s", Request: fmt.Sprint(id), Resumable: true, Resumed: true, FirstByteBudgetMS: 400, MaxWaitMS: 1000})
	}

	It("goes on at it if a read after the request's arrival shows no other", func() {
		for id := range allocation.ID(2) {
			grant, err := takeUp(id + 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(*grant.Version).To(Equal(tables.SoftwareVersion("v1")))
			Expect(reads).To(Equal(int(id) + 1))
		}
	})

	It("is refused if the read shows another", func() {
		read = func() error {
			coordinator.Origins.Observe(nil, append(targets, targetOf("v2")))
			return nil
		}
		_, err := takeUp(1)
		Expect(errkind.Of(err)).To(Equal(errkind.OriginUnknown))
	})

	It("is refused if the read shows one that has left already", func() {
		read = func() error {
			coordinator.Origins.Observe(map[tables.ServiceID][]tables.SoftwareVersion{"s": {"v2"}}, targets)
			return nil
		}
		_, err := takeUp(1)
		Expect(errkind.Of(err)).To(Equal(errkind.OriginUnknown))
	})

	It("is refused if the store can't be read", func() {
		read = func() error { return errors.New("down") }
		_, err := takeUp(1)
		Expect(errkind.Of(err)).To(Equal(errkind.OriginUnknown))
	})

	It("is refused without a read once another version was seen", func() {
		coordinator.Origins.Observe(nil, append(targets, targetOf("v2")))
		_, err := takeUp(1)
		Expect(errkind.Of(err)).To(Equal(errkind.OriginUnknown))
		Expect(reads).To(BeZero())
	})
})
