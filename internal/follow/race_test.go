package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

const (
	raceSeeds = 8
	raceHosts = 5
	raceFor   = 60 * time.Minute
)

// race is what operators were told of their patches; each patch adds the
// customer of its own name.
type race struct {
	*world
	mu       sync.Mutex
	accepted map[string]config.Version
	rejected map[string]bool
	patches  int
}

// operators publish patches against the version that some host shows, and
// again with the same ID when a patch is undecided.
func (r *race) operator(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(1+r.pick(60)) * time.Second)
		f := r.hosts[r.pick(len(r.hosts))].peer()
		if f == nil {
			continue
		}
		name := fmt.Sprintf("c%d-%d", n, i)
		p := patch(f.Current().Version, name)
		if r.pick(10) == 0 {
			p.Base++
		}
		if r.pick(10) == 0 {
			p.Merge = json.RawMessage(fmt.Sprintf(`{"customers":{%q:{"share":-1}}}`, name))
		}
		for range 1 + r.pick(3) {
			result, err := f.Publish(ctx, p)
			r.told(name, result, err)
		}
	}
}

func (r *race) told(name string, result config.Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.patches++
	switch errkind.Of(err) {
	case errkind.None:
		if v, ok := r.accepted[name]; ok && v != result.Version {
			r.fails = append(r.fails, fmt.Sprintf("%s was accepted as version %d and as %d", name, v, result.Version))
		}
		r.accepted[name] = result.Version
	case errkind.VersionConflict, errkind.InvalidConfig:
		r.rejected[name] = true
	case errkind.LogUnavailable, errkind.PatchUndecided:
	default:
		r.fails = append(r.fails, fmt.Sprintf("%s: %v", name, err))
	}
}

// chaos breaks and mends one thing after another. Host 0 loses the log only
// for a short time, so that some host writes snapshots before retention.
func (r *race) chaos(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(5+r.pick(90)) * time.Second)
		h := r.hosts[1+r.pick(len(r.hosts)-1)]
		switch r.pick(10) {
		case 0:
			r.store.SetDown(true)
			time.Sleep(time.Duration(r.pick(240)) * time.Second)
			r.store.SetDown(false)
		case 1:
			r.store.LoseAnswers(1 + r.pick(3))
		case 2:
			r.store.LoseRequests(1 + r.pick(2))
		case 3:
			r.store.SetDelay(time.Duration(r.pick(3000)) * time.Millisecond)
		case 4:
			h.stop()
			time.Sleep(time.Duration(r.pick(60)) * time.Second)
			h.start()
		case 5:
			h.log.set(reach(r.pick(3)))
		case 6:
			h.isolate(r.pick(2) == 0)
		case 7:
			r.hosts[0].log.set(silent)
			time.Sleep(time.Duration(r.pick(60)) * time.Second)
			r.hosts[0].log.set(whole)
		case 8:
			h.log.set(refused)
			h.isolate(true)
			time.Sleep(retention + time.Duration(r.pick(600))*time.Second)
		default:
			_, _ = r.store.Append(ctx, ports.ConfigStream, []byte("garbage"))
		}
	}
}

func (r *race) mend() {
	r.store.SetDown(false)
	r.store.SetDelay(0)
	r.store.LoseAnswers(0)
	r.store.LoseRequests(0)
	for _, h := range r.hosts {
		h.log.set(whole)
		h.isolate(false)
	}
}

// verify compares every version that a host ever had with what operators were
// told.
func (r *race) verify(final follow.Snapshot) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for v, s := range r.known {
		for name, at := range r.accepted {
			_, in := s.Document.Customers[name]
			if in != (v >= at) {
				r.fails = append(r.fails, fmt.Sprintf("%s, accepted as version %d, in version %d: %v", name, at, v, in))
			}
		}
		for name := range r.rejected {
			if _, in := s.Document.Customers[name]; in {
				r.fails = append(r.fails, fmt.Sprintf("%s was rejected and is in version %d", name, v))
			}
		}
	}
	Expect(final.Document.Customers).To(HaveLen(int(final.Version)), "every version added one customer")
}

var _ = Describe("Racing operators under faults", func() {
	for seed := range uint64(raceSeeds) {
		It(fmt.Sprint("keep one history of versions, seed ", seed), func() {
			inWorld(seed, raceHosts, func(w *world) {
				r := &race{world: w, accepted: map[string]config.Version{}, rejected: map[string]bool{}}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				for n := range 3 {
					running.Go(func() { r.operator(ctx, n) })
				}
				running.Go(func() { r.chaos(ctx) })
				time.Sleep(raceFor)
				cancel()
				running.Wait()
				r.mend()
				time.Sleep(10 * time.Second)
				final := w.hosts[0].f.Current()
				for _, h := range w.hosts {
					Expect(h.f.Current()).To(Equal(final), string(h.id))
				}
				r.verify(final)
				Expect(r.fails).To(BeEmpty())
				Expect(len(r.accepted)).To(BeNumerically(">", 20), "the faults leave room for patches")
				AddReportEntry("race", fmt.Sprintf("seed %d: %d publications, %d accepted, version %d", seed, r.patches, len(r.accepted), final.Version))
			})
		})
	}
})
