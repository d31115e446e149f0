package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// slowView gives an older list of targets to the first call, which takes until release is
// closed, and a newer one to all others.
type slowView struct {
	view
	newer            []fleet.Target
	calls            atomic.Int32
	reading, release chan struct{}
}

func (v *slowView) Targets() []fleet.Target {
	if v.calls.Add(1) > 1 {
		return append([]fleet.Target(nil), v.newer...)
	}
	close(v.reading)
	<-v.release
	return v.view.Targets()
}

var _ = Describe("Two reloads of the targets at a time", func() {
	It("end with the newer list", func() {
		listed := func(id tables.TargetID) []fleet.Target {
			return []fleet.Target{{ID: id, Service: "s", Address: string(id), Slots: 1}}
		}
		v := &slowView{view: view{config: fleet.NewConfig(1), targets: listed("older")}, newer: listed("newer"), reading: make(chan struct{}), release: make(chan struct{})}
		whole := func() float64 { return 1 }
		coordinator := NewCoordinator(v, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clockwork.NewFakeClock(), zap.NewNop())
		reload := func(done chan<- struct{}) {
			coordinator.ReloadTargets(allocation.Estimates{})
			close(done)
		}
		older, newer := make(chan struct{}), make(chan struct{})
		go reload(older)
		<-v.reading
		go reload(newer)
		// The second reload either overtakes the first or waits for it.
		select {
		case <-newer:
		case <-time.After(50 * time.Millisecond):
		}
		close(v.release)
		Eventually(older).Should(BeClosed())
		Eventually(newer).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		grant, err := coordinator.Acquire(ctx, slotRequestMessage{ID: 1, Service: "s", FirstByteBudgetMS: 400})
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Target).To(Equal(tables.TargetID("newer")))
	})
})
