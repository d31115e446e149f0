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
	raceSeeds    = 8
	raceHosts    = 5
	raceDuration = 60 * time.Minute
)

// raceRun records the results that operators got for their patches. Each patch adds
// one customer, which is named after it.
type raceRun struct {
	*cluster
	mu           sync.Mutex
	accepted     map[string]config.Version
	rejected     map[string]bool
	publications int
}

// operator publishes patches based on the version of a random host. It publishes
// each of them one to three times.
func (r *raceRun) operator(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(1+r.pick(60)) * time.Second)
		f := r.hosts[r.pick(len(r.hosts))].reachableFollower()
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
			r.recordResult(name, result, err)
		}
	}
}

func (r *raceRun) recordResult(name string, result config.Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publications++
	switch errkind.Of(err) {
	case errkind.None:
		if v, ok := r.accepted[name]; ok && v != result.Version {
			r.failures = append(r.failures, fmt.Sprintf("%s was accepted as version %d and as %d", name, v, result.Version))
		}
		r.accepted[name] = result.Version
	case errkind.VersionConflict, errkind.InvalidConfig:
		r.rejected[name] = true
	case errkind.LogUnavailable, errkind.PatchUndecided:
	default:
		r.failures = append(r.failures, fmt.Sprintf("%s: %v", name, err))
	}
}

// injectFaults causes and clears faults at random. Host 0 loses the log only for
// short times, so that some host always writes snapshots before the log drops the
// previous ones.
func (r *raceRun) injectFaults(ctx context.Context) {
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
			h.log.setMode(accessMode(r.pick(3)))
		case 6:
			h.setIsolated(r.pick(2) == 0)
		case 7:
			r.hosts[0].log.setMode(unresponsive)
			time.Sleep(time.Duration(r.pick(60)) * time.Second)
			r.hosts[0].log.setMode(healthy)
		case 8:
			h.log.setMode(refusing)
			h.setIsolated(true)
			time.Sleep(retention + time.Duration(r.pick(600))*time.Second)
		default:
			_, _ = r.store.Append(ctx, ports.ConfigStream, []byte("garbage"))
		}
	}
}

func (r *raceRun) clearFaults() {
	r.store.SetDown(false)
	r.store.SetDelay(0)
	r.store.LoseAnswers(0)
	r.store.LoseRequests(0)
	for _, h := range r.hosts {
		h.log.setMode(healthy)
		h.setIsolated(false)
	}
}

// verify compares all versions that were in force on any host with the results
// that operators got.
func (r *raceRun) verify(final follow.Snapshot) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for v, s := range r.versions {
		for name, acceptedVersion := range r.accepted {
			_, found := s.Document.Customers[name]
			if found != (v >= acceptedVersion) {
				r.failures = append(r.failures, fmt.Sprintf("%s was accepted as version %d; found in version %d: %v", name, acceptedVersion, v, found))
			}
		}
		for name := range r.rejected {
			if _, found := s.Document.Customers[name]; found {
				r.failures = append(r.failures, fmt.Sprintf("%s was rejected but is in version %d", name, v))
			}
		}
	}
	Expect(final.Document.Customers).To(HaveLen(int(final.Version)), "each version adds one customer")
}

var _ = Describe("Concurrent operators under faults", func() {
	for seed := range uint64(raceSeeds) {
		It(fmt.Sprint("produce a single history of versions, seed ", seed), func() {
			runCluster(seed, raceHosts, func(c *cluster) {
				r := &raceRun{cluster: c, accepted: map[string]config.Version{}, rejected: map[string]bool{}}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				for n := range 3 {
					running.Go(func() { r.operator(ctx, n) })
				}
				running.Go(func() { r.injectFaults(ctx) })
				time.Sleep(raceDuration)
				cancel()
				running.Wait()
				r.clearFaults()
				time.Sleep(10 * time.Second)
				final := c.hosts[0].f.Current()
				for _, h := range c.hosts {
					Expect(h.f.Current()).To(Equal(final), string(h.id))
				}
				r.verify(final)
				Expect(r.failures).To(BeEmpty())
				Expect(len(r.accepted)).To(BeNumerically(">", 20), "enough patches are accepted despite the faults")
				AddReportEntry("race", fmt.Sprintf("seed %d: %d publications, %d accepted, version %d", seed, r.publications, len(r.accepted), final.Version))
			})
		})
	}
})
