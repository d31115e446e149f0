package feed_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/feed"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var suite *testing.T

func TestFeed(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

// Ways in which a call to the dispatcher or to the platform ends.
type reach int

const (
	whole reach = iota
	refused
	// silent calls get no answer.
	silent
)

// site is one host with a dispatcher and a gate, and the platform.
type site struct {
	log  *logstore.Store
	list *hostlist.List

	mu sync.Mutex
	// dispatcher is the way of the gate to it; platform that of each process.
	dispatcher reach
	platform   map[string]reach
	reads      map[string]int
	late       time.Duration

	source *feed.Source
	// serving is false while the dispatcher starts.
	serving bool
	feeder  *process
	gate    *process
}

// process is one process with what the feed touches of it.
type process struct {
	s        *site
	role     string
	follower *follow.Follower
	members  *members.Members
	client   *feed.Client
	// stall ends the follower alone; stop ends all.
	stall, stop context.CancelFunc
	// versions are those that were in force, one after the other.
	mu       sync.Mutex
	versions []config.Version
}

// way is the platform as one process reaches it.
type way struct {
	s    *site
	role string
}

func (w way) pass(ctx context.Context, what string) error {
	w.s.mu.Lock()
	r := w.s.platform[w.role]
	w.s.reads[w.role+" "+what]++
	w.s.mu.Unlock()
	switch r {
	case refused:
		return ports.ErrUnavailable
	case silent:
		<-ctx.Done()
		return ports.ErrUnavailable
	}
	return nil
}

func (w way) List(ctx context.Context) (ports.Listing, error) {
	if err := w.pass(ctx, "list"); err != nil {
		return ports.Listing{}, err
	}
	return w.s.list.List(ctx)
}

func (w way) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	return w.s.log.Append(ctx, stream, data)
}

func (w way) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if err := w.pass(ctx, "log"); err != nil {
		return ports.Page{}, err
	}
	return w.s.log.Read(ctx, stream, from, wait)
}

// Call carries a message to the dispatcher of the host.
func (s *site) Call(ctx context.Context, _, method string, params, result any) error {
	s.mu.Lock()
	r, late, source, feeder, serving := s.dispatcher, s.late, s.source, s.feeder, s.serving
	s.mu.Unlock()
	switch {
	case r == silent:
		<-ctx.Done()
		return ctx.Err()
	case r == refused || !serving:
		return errors.New("connection refused")
	}
	switch method {
	case peer.MethodFeed:
		answer := source.Answer(ctx, params.(peer.FeedRequest))
		text, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		select {
		case <-time.After(late):
		case <-ctx.Done():
			return ctx.Err()
		}
		return json.Unmarshal(text, result)
	case peer.MethodConfig:
		*result.(*peer.ConfigState) = feeder.follower.Export(config.Version(params.(peer.ConfigRequest).Have))
	case peer.MethodHeartbeat:
		*result.(*peer.Heartbeat) = feeder.members.Handle(params.(peer.Heartbeat))
	}
	return nil
}

func (s *site) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *site) count(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[what]
}

// start runs a process on a log and a host list until its stop.
func (s *site) start(p *process, log ports.Log, list ports.HostList, source *feed.Source, f members.Feed) {
	self := tables.Host{ID: "h1", Domain: "a"}
	p.follower = follow.New(follow.Options{Host: "h1", Log: log, Peers: p, SkipSnapshots: true})
	p.members = members.New(members.Options{
		Self: self, Observer: p.role == "gate", List: list, Caller: s, Feed: f, ClaimShards: 4,
		Heartbeat: func() peer.Heartbeat {
			current := p.follower.Current()
			hb := peer.Heartbeat{ConfigVersion: uint64(current.Version), ConfigDigest: current.Digest}
			if source != nil {
				hb.LowestVersion, hb.Unheard = source.Lowest(hb.ConfigVersion)
			}
			return hb
		},
		OnHeartbeat: func(hb peer.Heartbeat) { p.follower.Heard(config.Version(hb.ConfigVersion), hb.ConfigDigest) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	following, stall := context.WithCancel(ctx)
	p.stall = stall
	go func() { _ = p.follower.Run(following) }()
	go func() { _ = p.members.Run(ctx) }()
	go p.watch(ctx)
}

func (p *process) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.follower.Changed()
		p.mu.Lock()
		p.versions = append(p.versions, p.follower.Current().Version)
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// FetchConfig asks through the membership table.
func (p *process) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	return p.members.FetchConfig(ctx, have)
}

// rising reports whether the version never fell.
func (p *process) rising() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.IsSorted(p.versions)
}

func (p *process) version() config.Version { return p.follower.Current().Version }

func (s *site) startDispatcher() {
	w := way{s, "dispatcher"}
	source := feed.NewSource(feed.SourceOptions{
		Host: "h1", Clock: clockwork.NewRealClock(), Log: w, List: w, Roles: []string{"gate"},
	})
	p := &process{s: s, role: "dispatcher"}
	s.set(func() { s.source, s.feeder, s.serving = source, p, false })
	s.start(p, source.Log(), source.List(), source, nil)
	source.Serve(peer.NewMux(), p.members)
	s.set(func() { s.serving = true })
}

func (s *site) startGate() {
	w := way{s, "gate"}
	p := &process{s: s, role: "gate"}
	p.client = feed.NewClient(feed.ClientOptions{
		Host: "h1", Role: "gate", Caller: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Log: w, List: w,
		Version: func() uint64 { return uint64(p.version()) },
	})
	s.gate = p
	s.start(p, p.client.Log(), p.client.List(), nil, p.client)
	ctx, cancel := context.WithCancel(context.Background())
	stop := p.stop
	p.stop = func() { stop(); cancel() }
	go func() { _ = p.client.Run(ctx, p.members) }()
}

// publish appends the patch that follows the version of the log.
func (s *site) publish(base config.Version) {
	p := config.Patch{ID: uuid.NewString(), Base: base, Merge: fmt.Appendf(nil, `{"limits":{"max_queued_per_target":%d}}`, base+1)}
	data, err := config.LogRecord{Patch: &p}.Encode()
	Expect(err).NotTo(HaveOccurred())
	_, err = s.log.Append(context.Background(), ports.ConfigStream, data)
	Expect(err).NotTo(HaveOccurred())
}

// onSite runs a spec in virtual time with one target, "t1".
func onSite(spec func(s *site)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			s := &site{
				log: logstore.New(clockwork.NewRealClock(), logstore.Options{}), list: hostlist.New(clockwork.NewRealClock(), 0),
				platform: map[string]reach{}, reads: map[string]int{},
			}
			s.list.PutHost(tables.Host{ID: "h1", Domain: "a", PeerAddress: "h1", Listed: tables.HostLive})
			s.list.MarkTarget("t1", tables.HostLive)
			defer time.Sleep(time.Minute)
			defer func() {
				for _, p := range []*process{s.feeder, s.gate} {
					if p != nil {
						p.stop()
					}
				}
			}()
			spec(s)
		})
	}
}
