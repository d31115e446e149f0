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

// reachability is the outcome of calls to the dispatcher or to the platform.
type reachability int

const (
	reachable reachability = iota
	refused
	// unresponsive means that calls block until their context ends.
	unresponsive
)

// site is one host with a dispatcher and a gate, and the platform they use.
type site struct {
	log  *logstore.Store
	list *hostlist.List

	mu sync.Mutex
	// dispatcherReach applies to calls from the gate to the dispatcher.
	// platformReach applies to calls to the platform, by the role of the caller.
	dispatcherReach reachability
	platformReach   map[string]reachability
	reads           map[string]int
	responseDelay   time.Duration

	source *feed.Source
	// serving is false while the dispatcher starts up.
	serving           bool
	dispatcherProcess *process
	gate              *process
}

// process is a dispatcher or a gate with the components that use the feed.
type process struct {
	s        *site
	role     string
	follower *follow.Follower
	members  *members.Members
	client   *feed.Client
	// stopFollower stops only the follower; stop stops the whole process.
	stopFollower, stop context.CancelFunc
	mu                 sync.Mutex
	// versions are the configuration versions that have been in force, in order.
	// They are guarded by mu.
	versions []config.Version
}

// platformAccess is the platform's log and host list as reached by one process.
type platformAccess struct {
	s    *site
	role string
}

// access counts a read. It returns ErrUnavailable at once if the platform refuses
// this process, or when ctx ends if the platform is unresponsive.
func (a platformAccess) access(ctx context.Context, kind string) error {
	a.s.mu.Lock()
	reach := a.s.platformReach[a.role]
	a.s.reads[a.role+" "+kind]++
	a.s.mu.Unlock()
	switch reach {
	case refused:
		return ports.ErrUnavailable
	case unresponsive:
		<-ctx.Done()
		return ports.ErrUnavailable
	}
	return nil
}

func (a platformAccess) List(ctx context.Context) (ports.Listing, error) {
	if err := a.access(ctx, "list"); err != nil {
		return ports.Listing{}, err
	}
	return a.s.list.List(ctx)
}

func (a platformAccess) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	return a.s.log.Append(ctx, stream, data)
}

func (a platformAccess) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if err := a.access(ctx, "log"); err != nil {
		return ports.Page{}, err
	}
	return a.s.log.Read(ctx, stream, from, wait)
}

// Call delivers a message to the dispatcher of the host.
func (s *site) Call(ctx context.Context, _, method string, params, result any) error {
	s.mu.Lock()
	reach, delay, source, dispatcher, serving := s.dispatcherReach, s.responseDelay, s.source, s.dispatcherProcess, s.serving
	s.mu.Unlock()
	switch {
	case reach == unresponsive:
		<-ctx.Done()
		return ctx.Err()
	case reach == refused || !serving:
		return errors.New("connection refused")
	}
	switch method {
	case peer.MethodFeed:
		response := source.Poll(ctx, params.(peer.FeedRequest))
		text, err := json.Marshal(response)
		if err != nil {
			return err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
		return json.Unmarshal(text, result)
	case peer.MethodConfig:
		*result.(*peer.ConfigState) = dispatcher.follower.Export(config.Version(params.(peer.ConfigRequest).Have))
	case peer.MethodHeartbeat:
		*result.(*peer.Heartbeat) = dispatcher.members.Handle(params.(peer.Heartbeat))
	}
	return nil
}

// locked runs change while it holds s.mu.
func (s *site) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// readCount returns the number of reads of a kind such as "gate list".
func (s *site) readCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[kind]
}

// start runs the follower and the membership table of a process until p.stop is
// called.
func (s *site) start(p *process, log ports.Log, list ports.HostList, source *feed.Source, f members.Feed) {
	self := tables.Host{ID: "h1", Domain: "a"}
	p.follower = follow.New(follow.Options{Host: "h1", Log: log, Peers: p, SkipSnapshots: true})
	p.members = members.New(members.Options{
		Self: self, Observer: p.role == "gate", List: list, Caller: s, Feed: f, ClaimShards: 4,
		Heartbeat: func() peer.Heartbeat {
			current := p.follower.Current()
			hb := peer.Heartbeat{ConfigVersion: uint64(current.Version), ConfigDigest: current.Digest}
			if source != nil {
				hb.LowestConfigVersion, hb.UnreportedRoles = source.LowestVersion(hb.ConfigVersion)
			}
			return hb
		},
		OnHeartbeat: func(hb peer.Heartbeat) {
			p.follower.RecordPeerVersion(config.Version(hb.ConfigVersion), hb.ConfigDigest)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	followerCtx, stopFollower := context.WithCancel(ctx)
	p.stopFollower = stopFollower
	go func() { _ = p.follower.Run(followerCtx) }()
	go func() { _ = p.members.Run(ctx) }()
	go p.watch(ctx)
}

// watch records the configuration versions in force until ctx ends.
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

// FetchConfig fetches the configuration from a peer in the membership table.
func (p *process) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	return p.members.FetchConfig(ctx, have)
}

// versionNeverDecreased reports whether the configuration version never
// decreased.
func (p *process) versionNeverDecreased() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.IsSorted(p.versions)
}

func (p *process) version() config.Version { return p.follower.Current().Version }

func (s *site) startDispatcher() {
	access := platformAccess{s, "dispatcher"}
	source := feed.NewSource(feed.SourceOptions{
		Host: "h1", Clock: clockwork.NewRealClock(), Log: access, List: access, Roles: []string{"gate"},
	})
	p := &process{s: s, role: "dispatcher"}
	s.locked(func() { s.source, s.dispatcherProcess, s.serving = source, p, false })
	s.start(p, source.Log(), source.List(), source, nil)
	source.Serve(peer.NewMux(), p.members)
	s.locked(func() { s.serving = true })
}

func (s *site) startGate() {
	access := platformAccess{s, "gate"}
	p := &process{s: s, role: "gate"}
	p.client = feed.NewClient(feed.ClientOptions{
		Host: "h1", Role: "gate", Caller: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Log: access, List: access,
		ConfigVersion: func() uint64 { return uint64(p.version()) },
	})
	s.gate = p
	s.start(p, p.client.Log(), p.client.List(), nil, p.client)
	ctx, cancel := context.WithCancel(context.Background())
	stop := p.stop
	p.stop = func() { stop(); cancel() }
	go func() { _ = p.client.Run(ctx, p.members) }()
}

// publish appends a patch with the given base version to the log.
func (s *site) publish(base config.Version) {
	p := config.Patch{ID: uuid.NewString(), Base: base, Merge: fmt.Appendf(nil, `{"limits":{"max_queued_per_target":%d}}`, base+1)}
	data, err := config.LogRecord{Patch: &p}.Encode()
	Expect(err).NotTo(HaveOccurred())
	_, err = s.log.Append(context.Background(), ports.ConfigStream, data)
	Expect(err).NotTo(HaveOccurred())
}

// onSite runs a spec in virtual time on a new site with one target, "t1".
func onSite(spec func(s *site)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			s := &site{
				log: logstore.New(clockwork.NewRealClock(), logstore.Options{}), list: hostlist.New(clockwork.NewRealClock(), 0),
				platformReach: map[string]reachability{}, reads: map[string]int{},
			}
			s.list.PutHost(tables.Host{ID: "h1", Domain: "a", PeerAddress: "h1", Listed: tables.HostLive})
			s.list.MarkTarget("t1", tables.HostLive)
			defer time.Sleep(time.Minute)
			defer func() {
				for _, p := range []*process{s.dispatcherProcess, s.gate} {
					if p != nil {
						p.stop()
					}
				}
			}()
			spec(s)
		})
	}
}
