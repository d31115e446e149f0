package follow_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var suite *testing.T

func TestFollow(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

// accessMode determines how a host's calls to the log behave.
type accessMode int

const (
	healthy accessMode = iota
	refusing
	// unresponsive makes each call block until it is cancelled. An append may
	// still take effect.
	unresponsive
	// skipping makes a read continue at the oldest retained record if the
	// requested one was removed.
	skipping
)

// logAccess is one host's access to the log.
type logAccess struct {
	c *cluster

	mu   sync.Mutex
	log  ports.Log
	mode accessMode
}

func (a *logAccess) setMode(m accessMode) {
	a.mu.Lock()
	a.mode = m
	a.mu.Unlock()
}

func (a *logAccess) current() (ports.Log, accessMode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log, a.mode
}

func (a *logAccess) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	log, mode := a.current()
	switch mode {
	case refusing:
		return 0, fmt.Errorf("append: %w", ports.ErrUnavailable)
	case unresponsive:
		if a.c.pick(2) == 0 {
			_, _ = log.Append(ctx, stream, data)
		}
		<-ctx.Done()
		return 0, fmt.Errorf("append: %w", ports.ErrUnknown)
	}
	return log.Append(ctx, stream, data)
}

func (a *logAccess) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	log, mode := a.current()
	switch mode {
	case refusing:
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	case unresponsive:
		<-ctx.Done()
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	page, err := log.Read(ctx, stream, from, wait)
	if mode == skipping && from > 0 && errors.Is(err, ports.ErrTruncated) {
		return log.Read(ctx, stream, page.First, wait)
	}
	return page, err
}

// host is a simulated host. Its follower is replaced at each restart.
type host struct {
	c   *cluster
	id  tables.HostID
	log *logAccess

	mu sync.Mutex
	// isolated is set while the host and its peers cannot reach each other.
	isolated bool
	// source is the host that last reported a version higher than the one in force
	// on this host.
	source *host
	f      *follow.Follower
	cancel func()
}

// reachableFollower returns the host's follower, or nil if the host is isolated or
// stopped.
func (h *host) reachableFollower() *follow.Follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isolated {
		return nil
	}
	return h.f
}

// FetchConfig fetches from the host that last reported a higher version, or from
// a random one.
func (h *host) FetchConfig(_ context.Context, have config.Version) (peer.ConfigState, error) {
	other := h.c.hosts[h.c.pick(len(h.c.hosts))]
	h.mu.Lock()
	if h.source != nil {
		other = h.source
		h.source = nil
	}
	h.mu.Unlock()
	f := other.reachableFollower()
	if other == h || h.reachableFollower() == nil || f == nil {
		return peer.ConfigState{}, errkind.New(errkind.NotConfigured, "peer unreachable")
	}
	return f.Export(have), nil
}

// cluster is a log and the hosts that follow it, in virtual time.
type cluster struct {
	store *logstore.Store
	rand  *rand.Rand
	hosts []*host
	mu    sync.Mutex
	// versions holds the snapshot of each version that was in force on any host.
	versions map[config.Version]follow.Snapshot
	failures []string
	cancel   func()
}

// pick returns a random number in [0, n).
func (c *cluster) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// close stops all hosts and waits until their goroutines have ended.
func (c *cluster) close() {
	c.cancel()
	for _, h := range c.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
}

const retention = 20 * time.Minute

func runCluster(seed uint64, hosts int, spec func(c *cluster)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		store := logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: retention})
		c := &cluster{store: store, rand: rand.New(rand.NewPCG(seed, 1)), versions: map[config.Version]follow.Snapshot{}}
		for i := range hosts {
			h := &host{c: c, id: tables.HostID(fmt.Sprint("h", i)), log: &logAccess{c: c, log: store}}
			c.hosts = append(c.hosts, h)
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		c.cancel = cancel
		go c.heartbeats(ctx)
		defer c.close()
		spec(c)
	})
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f := follow.New(follow.Options{Host: h.id, Log: h.log, Peers: h, Retention: retention})
	h.mu.Lock()
	h.f, h.cancel = f, cancel
	h.mu.Unlock()
	go func() { _ = f.Run(ctx) }()
	go h.watch(ctx, f)
}

func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.f = nil
	h.cancel()
}

func (h *host) setIsolated(isolated bool) {
	h.mu.Lock()
	h.isolated = isolated
	h.mu.Unlock()
}

// watch checks that the host's version never decreases and that each version has
// the same digest on all hosts.
func (h *host) watch(ctx context.Context, f *follow.Follower) {
	last := follow.Snapshot{}
	for ctx.Err() == nil {
		changed := f.Changed()
		current := f.Current()
		h.c.check(h.id, last, current)
		last = current
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (c *cluster) check(id tables.HostID, last, current follow.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current.Version < last.Version {
		c.failures = append(c.failures, fmt.Sprintf("%s went back from version %d to %d", id, last.Version, current.Version))
	}
	if other, ok := c.versions[current.Version]; ok && other.Digest != current.Digest {
		c.failures = append(c.failures, fmt.Sprintf("%s has version %d with digest %x, another host %x", id, current.Version, current.Digest, other.Digest))
	}
	c.versions[current.Version] = current
}

// heartbeats reports the version of a random host to each host once per second.
func (c *cluster) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			source := c.hosts[c.pick(len(c.hosts))]
			from, to := source.reachableFollower(), h.reachableFollower()
			if from == nil || to == nil {
				continue
			}
			snapshot := from.Current()
			if snapshot.Version > to.Current().Version {
				h.mu.Lock()
				h.source = source
				h.mu.Unlock()
			}
			to.RecordPeerVersion(snapshot.Version, snapshot.Digest)
		}
	}
}

func patch(base config.Version, name string) config.Patch {
	merge := fmt.Sprintf(`{"customers":{%q:{"share":1}}}`, name)
	return config.Patch{ID: uuid.NewString(), Base: base, Operator: "o", Merge: json.RawMessage(merge)}
}

func publish(h *host, p config.Patch) (config.Result, error) {
	return h.f.Publish(context.Background(), p)
}

func dump(log ports.Log) string {
	page, err := log.Read(context.Background(), ports.ConfigStream, 0, 0)
	text := fmt.Sprint(err, "\n")
	for _, rec := range page.Records {
		text += rec.Time.String() + " " + string(rec.Data) + "\n"
	}
	return text
}

func currentVersions(c *cluster) []config.Version {
	var versions []config.Version
	for _, h := range c.hosts {
		versions = append(versions, h.f.Current().Version)
	}
	return versions
}

func withHosts(hosts int, f func(c *cluster)) func() {
	return func() {
		runCluster(7, hosts, f)
	}
}

var _ = Describe("Follower", func() {
	It("puts an accepted version in force on 13 hosts within a second", withHosts(13, func(c *cluster) {
		time.Sleep(time.Second)
		r, err := publish(c.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Accepted).To(BeTrue())
		time.Sleep(time.Second)
		Expect(currentVersions(c)).To(HaveEach(config.Version(1)))
		Expect(c.hosts[3].f.History()).To(ContainElement(HaveField("PatchID", r.PatchID)))
	}))
	It("accepts one of two concurrent patches and returns the version in force with the conflict", withHosts(2, func(c *cluster) {
		time.Sleep(time.Second)
		results := make(chan config.Result, 2)
		errs := make(chan error, 2)
		for _, h := range c.hosts {
			go func() {
				r, err := publish(h, patch(0, string(h.id)))
				results <- r
				errs <- err
			}()
		}
		a, b := <-results, <-results
		Expect([]bool{a.Accepted, b.Accepted}).To(ConsistOf(true, false))
		Expect([]errkind.Kind{errkind.Of(<-errs), errkind.Of(<-errs)}).To(ConsistOf(errkind.None, errkind.VersionConflict))
		Expect(a.Version).To(BeEquivalentTo(1))
		Expect(b.Version).To(BeEquivalentTo(1))
	}))
	It("applies each patch ID once, even if requests or answers of appends are lost", withHosts(2, func(c *cluster) {
		time.Sleep(time.Second)
		c.store.LoseRequests(1)
		p := patch(0, "a")
		_, err := publish(c.hosts[0], p)
		Expect(err).NotTo(HaveOccurred())
		c.store.LoseAnswers(1)
		q := patch(1, "b")
		_, err = publish(c.hosts[0], q)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		r, err := publish(c.hosts[1], p)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Version).To(BeEquivalentTo(1))
		Expect(c.store.Appends()).To(Equal(2), dump(c.store))
		p.Merge = q.Merge
		_, err = publish(c.hosts[1], p)
		Expect(errkind.Of(err)).To(Equal(errkind.MalformedRequest))
	}))
	It("distinguishes patches that were not appended from undecided ones, and rejects invalid ones without an append", withHosts(1, func(c *cluster) {
		time.Sleep(time.Second)
		h := c.hosts[0]
		_, err := publish(h, config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"customers":{"a":{"share":0}}}`)})
		Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig))
		Expect(c.store.Appends()).To(BeZero())
		h.log.setMode(refusing)
		_, err = publish(h, patch(0, "a"))
		Expect(errkind.Of(err)).To(Equal(errkind.LogUnavailable))
		h.log.setMode(unresponsive)
		time.Sleep(10 * time.Second)
		p := patch(0, "a")
		_, err = publish(h, p)
		Expect(errkind.Of(err)).To(Equal(errkind.PatchUndecided))
		h.log.setMode(healthy)
		_, err = publish(h, p)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.f.Current().Version).To(BeEquivalentTo(1))
	}))
	It("fetches the configuration from peers during a log outage and refuses to publish until the log is back", withHosts(3, func(c *cluster) {
		time.Sleep(time.Second)
		_, err := publish(c.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		c.store.SetDown(true)
		c.hosts[2].stop()
		c.hosts[2].start()
		Expect(c.hosts[2].f.Current().Version).To(BeZero())
		time.Sleep(10 * time.Second)
		Expect(c.hosts[2].f.Current().Version).To(BeEquivalentTo(1))
		Expect(c.hosts[2].f.LogReachable()).To(BeFalse())
		_, err = publish(c.hosts[2], patch(1, "b"))
		Expect(errkind.Of(err)).To(Equal(errkind.LogUnavailable))
		c.store.SetDown(false)
		time.Sleep(5 * time.Second)
		_, err = publish(c.hosts[2], patch(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(currentVersions(c)).To(HaveEach(config.Version(2)))
	}))
	It("puts a version in force within 10 s on a host whose log does not respond", withHosts(3, func(c *cluster) {
		time.Sleep(time.Second)
		c.hosts[2].log.setMode(unresponsive)
		_, err := publish(c.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(currentVersions(c)).To(HaveEach(config.Version(1)))
	}))
	DescribeTable("puts a version in force within 10 s on hosts that can reach only peers", func(hosts int) {
		runCluster(7, hosts, func(c *cluster) {
			time.Sleep(time.Second)
			for _, h := range c.hosts[1:] {
				h.log.setMode(refusing)
			}
			time.Sleep(10 * time.Second)
			_, err := publish(c.hosts[0], patch(0, "a"))
			Expect(err).NotTo(HaveOccurred())
			seconds := 0
			for slices.Contains(currentVersions(c), 0) && seconds < 60 {
				time.Sleep(time.Second)
				seconds++
			}
			AddReportEntry("peers", fmt.Sprintf("%d hosts: %d s", hosts, seconds))
			Expect(seconds).To(BeNumerically("<=", 10))
		})
	}, Entry(nil, 13), Entry(nil, 50), Entry(nil, 200))
	It("reloads from a snapshot after the log dropped records that the host had not read", withHosts(2, func(c *cluster) {
		time.Sleep(time.Second)
		lagging := c.hosts[1]
		for i := range 4 {
			_, err := publish(c.hosts[0], patch(config.Version(i), fmt.Sprint("c", i)))
			Expect(err).NotTo(HaveOccurred())
			if i == 1 {
				lagging.log.setMode(refusing)
				lagging.setIsolated(true)
				time.Sleep(10 * time.Second)
			}
		}
		time.Sleep(2 * retention)
		Expect(lagging.f.Current().Version).To(BeNumerically("<", 4))
		lagging.log.setMode(healthy)
		time.Sleep(10 * time.Second)
		Expect(currentVersions(c)).To(HaveEach(config.Version(4)))
		lagging.stop()
		lagging.start()
		time.Sleep(10 * time.Second)
		Expect(lagging.f.Current()).To(Equal(c.hosts[0].f.Current()))
	}))
	It("detects missing records if the log skips them without an error", withHosts(2, func(c *cluster) {
		time.Sleep(time.Second)
		lagging := c.hosts[1]
		_, err := publish(c.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		lagging.log.setMode(refusing)
		lagging.setIsolated(true)
		time.Sleep(10 * time.Second)
		_, err = publish(c.hosts[0], patch(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * retention)
		lagging.log.setMode(skipping)
		time.Sleep(10 * time.Second)
		_, err = publish(c.hosts[0], patch(2, "c"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(lagging.f.Current()).To(Equal(c.hosts[0].f.Current()))
		Expect(lagging.f.Current().Document.Customers).To(HaveLen(3))
	}))
	It("does not report an accepted patch as a conflict while the log reader is behind", withHosts(2, func(c *cluster) {
		time.Sleep(time.Second)
		lagging := c.hosts[1]
		lagging.log.setMode(unresponsive)
		time.Sleep(10 * time.Second)
		p := patch(0, "a")
		_, err := publish(c.hosts[0], p)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(lagging.f.Current().Version).To(BeEquivalentTo(1))
		_, err = publish(lagging, p)
		Expect(errkind.Of(err)).To(Equal(errkind.PatchUndecided))
		lagging.log.setMode(healthy)
		_, err = publish(lagging, p)
		Expect(err).NotTo(HaveOccurred())
	}))
	It("writes the version in force to a log that has lost all records", withHosts(3, func(c *cluster) {
		time.Sleep(time.Second)
		_, err := publish(c.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		empty := logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: retention})
		for _, h := range c.hosts {
			h.log.mu.Lock()
			h.log.log = empty
			h.log.mu.Unlock()
		}
		time.Sleep(2 * time.Minute)
		Expect(currentVersions(c)).To(HaveEach(config.Version(1)))
		for v := range config.Version(3) {
			_, err = publish(c.hosts[v], patch(v+1, fmt.Sprint("b", v)))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
		}
		Expect(currentVersions(c)).To(HaveEach(config.Version(4)))
		Expect(c.failures).To(BeEmpty())
	}))
	It("ignores older configurations and rejects damaged ones from a peer", withHosts(1, func(c *cluster) {
		time.Sleep(time.Second)
		h := c.hosts[0]
		_, err := publish(h, patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		good := h.f.Export(0)
		bad := good
		bad.Version = 5
		bad.Digest++
		Expect(errkind.Of(h.f.ApplyPeerConfig(bad))).To(Equal(errkind.InvalidConfig))
		bad.Version = 1
		Expect(errkind.Of(h.f.ApplyPeerConfig(bad))).To(Equal(errkind.InvalidConfig))
		good.Version = 0
		Expect(h.f.ApplyPeerConfig(good)).To(Succeed())
		Expect(h.f.Current().Version).To(BeEquivalentTo(1))
		good.Version = 5
		Expect(h.f.ApplyPeerConfig(good)).To(Succeed())
		Expect(h.f.Current().Version).To(BeEquivalentTo(5))
	}))
})
