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

// reach is how a host's calls to the log end.
type reach int

const (
	whole reach = iota
	refused
	// silent calls get no answer; an append may take effect.
	silent
	// skipping reads continue at the oldest record when theirs are gone.
	skipping
)

// access is one host's way to the log.
type access struct {
	w *world

	mu    sync.Mutex
	log   ports.Log
	reach reach
}

func (a *access) set(r reach) {
	a.mu.Lock()
	a.reach = r
	a.mu.Unlock()
}

func (a *access) get() (ports.Log, reach) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log, a.reach
}

func (a *access) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	log, reach := a.get()
	switch reach {
	case refused:
		return 0, fmt.Errorf("append: %w", ports.ErrUnavailable)
	case silent:
		if a.w.pick(2) == 0 {
			_, _ = log.Append(ctx, stream, data)
		}
		<-ctx.Done()
		return 0, fmt.Errorf("append: %w", ports.ErrUnknown)
	}
	return log.Append(ctx, stream, data)
}

func (a *access) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	log, reach := a.get()
	switch reach {
	case refused:
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	case silent:
		<-ctx.Done()
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	page, err := log.Read(ctx, stream, from, wait)
	if reach == skipping && from > 0 && errors.Is(err, ports.ErrTruncated) {
		return log.Read(ctx, stream, page.First, wait)
	}
	return page, err
}

// host is one host; its follower is replaced at each restart.
type host struct {
	w   *world
	id  tables.HostID
	log *access

	mu sync.Mutex
	// alone hosts reach no peer.
	alone bool
	// source is the host that named the highest version.
	source *host
	f      *follow.Follower
	cancel func()
}

// peer returns the host's follower while peers reach it.
func (h *host) peer() *follow.Follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.alone {
		return nil
	}
	return h.f
}

// FetchConfig asks the host that named a higher version, or a random one.
func (h *host) FetchConfig(_ context.Context, have config.Version) (peer.ConfigState, error) {
	other := h.w.hosts[h.w.pick(len(h.w.hosts))]
	h.mu.Lock()
	if h.source != nil {
		other = h.source
		h.source = nil
	}
	h.mu.Unlock()
	f := other.peer()
	if other == h || h.peer() == nil || f == nil {
		return peer.ConfigState{}, errkind.New(errkind.NotConfigured, "peer unreachable")
	}
	return f.Export(have), nil
}

// world is a log and its followers in a bubble of virtual time.
type world struct {
	store *logstore.Store
	rand  *rand.Rand
	hosts []*host
	mu    sync.Mutex
	// known holds the digest and document of every version that a host had.
	known  map[config.Version]follow.Snapshot
	fails  []string
	cancel func()
}

// pick returns a number below n.
func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// close ends every goroutine of the bubble.
func (w *world) close() {
	w.cancel()
	for _, h := range w.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
}

const retention = 20 * time.Minute

func inWorld(seed uint64, hosts int, spec func(w *world)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		store := logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: retention})
		w := &world{store: store, rand: rand.New(rand.NewPCG(seed, 1)), known: map[config.Version]follow.Snapshot{}}
		for i := range hosts {
			h := &host{w: w, id: tables.HostID(fmt.Sprint("h", i)), log: &access{w: w, log: store}}
			w.hosts = append(w.hosts, h)
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		w.cancel = cancel
		go w.heartbeats(ctx)
		defer w.close()
		spec(w)
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

func (h *host) isolate(alone bool) {
	h.mu.Lock()
	h.alone = alone
	h.mu.Unlock()
}

// watch checks each version that comes into force.
func (h *host) watch(ctx context.Context, f *follow.Follower) {
	last := follow.Snapshot{}
	for ctx.Err() == nil {
		changed := f.Changed()
		now := f.Current()
		h.w.check(h.id, last, now)
		last = now
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (w *world) check(id tables.HostID, last, now follow.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Version < last.Version {
		w.fails = append(w.fails, fmt.Sprintf("%s fell from version %d to %d", id, last.Version, now.Version))
	}
	if other, ok := w.known[now.Version]; ok && other.Digest != now.Digest {
		w.fails = append(w.fails, fmt.Sprintf("%s has version %d with digest %x, another host %x", id, now.Version, now.Digest, other.Digest))
	}
	w.known[now.Version] = now
}

// heartbeats tells hosts every second which version a random peer has.
func (w *world) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for _, h := range w.hosts {
			source := w.hosts[w.pick(len(w.hosts))]
			from, to := source.peer(), h.peer()
			if from == nil || to == nil {
				continue
			}
			c := from.Current()
			if c.Version > to.Current().Version {
				h.mu.Lock()
				h.source = source
				h.mu.Unlock()
			}
			to.Heard(c.Version, c.Digest)
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
	out := fmt.Sprint(err, "\n")
	for _, rec := range page.Records {
		out += rec.Time.String() + " " + string(rec.Data) + "\n"
	}
	return out
}

func versions(w *world) []config.Version {
	var out []config.Version
	for _, h := range w.hosts {
		out = append(out, h.f.Current().Version)
	}
	return out
}

func spec(hosts int, f func(w *world)) func() {
	return func() {
		inWorld(7, hosts, f)
	}
}

var _ = Describe("Follower", func() {
	It("has an accepted version in force on 13 hosts at once", spec(13, func(w *world) {
		time.Sleep(time.Second)
		r, err := publish(w.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Accepted).To(BeTrue())
		time.Sleep(time.Second)
		Expect(versions(w)).To(HaveEach(config.Version(1)))
		Expect(w.hosts[3].f.History()).To(ContainElement(HaveField("PatchID", r.PatchID)))
	}))
	It("lets one of two racing operators win and tells the other the version", spec(2, func(w *world) {
		time.Sleep(time.Second)
		results := make(chan config.Result, 2)
		errs := make(chan error, 2)
		for _, h := range w.hosts {
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
	It("takes one patch ID once, also when appends lose answers or requests", spec(2, func(w *world) {
		time.Sleep(time.Second)
		w.store.LoseRequests(1)
		p := patch(0, "a")
		_, err := publish(w.hosts[0], p)
		Expect(err).NotTo(HaveOccurred())
		w.store.LoseAnswers(1)
		q := patch(1, "b")
		_, err = publish(w.hosts[0], q)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		r, err := publish(w.hosts[1], p)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Version).To(BeEquivalentTo(1))
		Expect(w.store.Appends()).To(Equal(2), dump(w.store))
		p.Merge = q.Merge
		_, err = publish(w.hosts[1], p)
		Expect(errkind.Of(err)).To(Equal(errkind.MalformedRequest))
	}))
	It("says whether a patch was not appended or is undecided, and refuses an invalid one without an append", spec(1, func(w *world) {
		time.Sleep(time.Second)
		h := w.hosts[0]
		_, err := publish(h, config.Patch{ID: uuid.NewString(), Merge: json.RawMessage(`{"customers":{"a":{"share":0}}}`)})
		Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig))
		Expect(w.store.Appends()).To(BeZero())
		h.log.set(refused)
		_, err = publish(h, patch(0, "a"))
		Expect(errkind.Of(err)).To(Equal(errkind.LogUnavailable))
		h.log.set(silent)
		time.Sleep(10 * time.Second)
		p := patch(0, "a")
		_, err = publish(h, p)
		Expect(errkind.Of(err)).To(Equal(errkind.PatchUndecided))
		h.log.set(whole)
		_, err = publish(h, p)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.f.Current().Version).To(BeEquivalentTo(1))
	}))
	It("starts a host in a log outage from its peers and keeps publications honest", spec(3, func(w *world) {
		time.Sleep(time.Second)
		_, err := publish(w.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		w.store.SetDown(true)
		w.hosts[2].stop()
		w.hosts[2].start()
		Expect(w.hosts[2].f.Current().Version).To(BeZero())
		time.Sleep(10 * time.Second)
		Expect(w.hosts[2].f.Current().Version).To(BeEquivalentTo(1))
		Expect(w.hosts[2].f.LogReachable()).To(BeFalse())
		_, err = publish(w.hosts[2], patch(1, "b"))
		Expect(errkind.Of(err)).To(Equal(errkind.LogUnavailable))
		w.store.SetDown(false)
		time.Sleep(5 * time.Second)
		_, err = publish(w.hosts[2], patch(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(versions(w)).To(HaveEach(config.Version(2)))
	}))
	It("is in force within 10 s on a host whose log connection is silent", spec(3, func(w *world) {
		time.Sleep(time.Second)
		w.hosts[2].log.set(silent)
		_, err := publish(w.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(versions(w)).To(HaveEach(config.Version(1)))
	}))
	DescribeTable("brings a version to every host within 10 s by peers alone", func(hosts int) {
		inWorld(7, hosts, func(w *world) {
			time.Sleep(time.Second)
			for _, h := range w.hosts[1:] {
				h.log.set(refused)
			}
			time.Sleep(10 * time.Second)
			_, err := publish(w.hosts[0], patch(0, "a"))
			Expect(err).NotTo(HaveOccurred())
			seconds := 0
			for slices.Contains(versions(w), 0) && seconds < 60 {
				time.Sleep(time.Second)
				seconds++
			}
			AddReportEntry("peers", fmt.Sprintf("%d hosts: %d s", hosts, seconds))
			Expect(seconds).To(BeNumerically("<=", 10))
		})
	}, Entry(nil, 13), Entry(nil, 50), Entry(nil, 200))
	It("reloads from a snapshot after retention has passed it by", spec(2, func(w *world) {
		time.Sleep(time.Second)
		late := w.hosts[1]
		for i := range 4 {
			_, err := publish(w.hosts[0], patch(config.Version(i), fmt.Sprint("c", i)))
			Expect(err).NotTo(HaveOccurred())
			if i == 1 {
				late.log.set(refused)
				late.isolate(true)
				time.Sleep(10 * time.Second)
			}
		}
		time.Sleep(2 * retention)
		Expect(late.f.Current().Version).To(BeNumerically("<", 4))
		late.log.set(whole)
		time.Sleep(10 * time.Second)
		Expect(versions(w)).To(HaveEach(config.Version(4)))
		late.stop()
		late.start()
		time.Sleep(10 * time.Second)
		Expect(late.f.Current()).To(Equal(w.hosts[0].f.Current()))
	}))
	It("notices records that the log skips in silence", spec(2, func(w *world) {
		time.Sleep(time.Second)
		late := w.hosts[1]
		_, err := publish(w.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		late.log.set(refused)
		late.isolate(true)
		time.Sleep(10 * time.Second)
		_, err = publish(w.hosts[0], patch(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * retention)
		late.log.set(skipping)
		time.Sleep(10 * time.Second)
		_, err = publish(w.hosts[0], patch(2, "c"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(late.f.Current()).To(Equal(w.hosts[0].f.Current()))
		Expect(late.f.Current().Document.Customers).To(HaveLen(3))
	}))
	It("never calls an accepted patch a conflict while its log reader lags", spec(2, func(w *world) {
		time.Sleep(time.Second)
		late := w.hosts[1]
		late.log.set(silent)
		time.Sleep(10 * time.Second)
		p := patch(0, "a")
		_, err := publish(w.hosts[0], p)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(late.f.Current().Version).To(BeEquivalentTo(1))
		_, err = publish(late, p)
		Expect(errkind.Of(err)).To(Equal(errkind.PatchUndecided))
		late.log.set(whole)
		_, err = publish(late, p)
		Expect(err).NotTo(HaveOccurred())
	}))
	It("writes the version in force to a log that has lost every record", spec(3, func(w *world) {
		time.Sleep(time.Second)
		_, err := publish(w.hosts[0], patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		empty := logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: retention})
		for _, h := range w.hosts {
			h.log.mu.Lock()
			h.log.log = empty
			h.log.mu.Unlock()
		}
		time.Sleep(2 * time.Minute)
		Expect(versions(w)).To(HaveEach(config.Version(1)))
		for v := range config.Version(3) {
			_, err = publish(w.hosts[v], patch(v+1, fmt.Sprint("b", v)))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
		}
		Expect(versions(w)).To(HaveEach(config.Version(4)))
		Expect(w.fails).To(BeEmpty())
	}))
	It("takes no damaged or older configuration from a peer", spec(1, func(w *world) {
		time.Sleep(time.Second)
		h := w.hosts[0]
		_, err := publish(h, patch(0, "a"))
		Expect(err).NotTo(HaveOccurred())
		good := h.f.Export(0)
		bad := good
		bad.Version = 5
		bad.Digest++
		Expect(errkind.Of(h.f.Offer(bad))).To(Equal(errkind.InvalidConfig))
		bad.Version = 1
		Expect(errkind.Of(h.f.Offer(bad))).To(Equal(errkind.InvalidConfig))
		good.Version = 0
		Expect(h.f.Offer(good)).To(Succeed())
		Expect(h.f.Current().Version).To(BeEquivalentTo(1))
		good.Version = 5
		Expect(h.f.Offer(good)).To(Succeed())
		Expect(h.f.Current().Version).To(BeEquivalentTo(5))
	}))
})
