// Package edgenode assembles and runs the edge process of one host.
package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/connlimit"
	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/identity"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/originlog"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/poison"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/relay"
	"github.com/bluebellseam/bluebellseam/internal/stall"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
	"github.com/bluebellseam/bluebellseam/platform"
)

const (
	// metricsPortOffset is the offset of the metrics port from the first
	// internal port.
	metricsPortOffset = 1
	// maxPeerMessageBytes is the size limit of a message of another host, far above the
	// state of a large fleet.
	maxPeerMessageBytes = 16 << 20
	// coordinatorRankSeed is hashed with each host ID. The hash breaks ties between
	// hosts with the same number of cores when hosts are ranked as coordinators.
	coordinatorRankSeed = "home"
	// loadTimeout bounds one attempt to load the state at startup.
	loadTimeout    = 2 * time.Second
	loadRetryDelay = 200 * time.Millisecond
	// maxCoordinatorWait bounds the wait for the coordinator at startup.
	maxCoordinatorWait      = 300 * time.Millisecond
	coordinatorPollInterval = 10 * time.Millisecond
	// retryBudgetShare is the fraction of the platform's retry budget that a
	// coordinator uses.
	retryBudgetShare = 0.6
	// readinessDelay is how long the platform takes to notice that a host is no
	// longer ready. Until then it sends new connections.
	readinessDelay = 2500 * time.Millisecond
	// drainPollInterval is the time between checks for idle connections of callers
	// during a stop.
	drainPollInterval = 20 * time.Millisecond
	// logFlushTimeout bounds the wait for the last log lines at a stop.
	logFlushTimeout = 100 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to
	// exit.
	exitMargin = 700 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration
	// sets no timeouts.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// idleMargin is added to the configured idle timeout. Callers reuse
	// connections until that timeout; without a margin, this host could close a
	// connection while a request is on its way.
	idleMargin = time.Second
)

// Process is a running edge process.
type Process struct {
	mu       sync.Mutex
	settings platform.Settings
	// observing is held by observeTargets, so that no older list replaces a newer one.
	observing sync.Mutex
	// rankedHosts is the list that links has got last.
	rankedHosts []fleet.Host

	self        fleet.Host
	log         *observe.BoundedLog
	logger      *zap.Logger
	clock       clockwork.Clock
	metrics     *observe.EdgeMetrics
	mux         *peer.Mux
	peers       *peer.Pool
	links       *links.Links
	state       *watch.State
	watcher     *watch.Watcher
	replicator  *watch.Replicator
	coordinator *pool.Coordinator
	fallback    *pool.Coordinator
	client      *pool.Client
	origins     *pool.Origins
	originLog   *originlog.Log
	poison      *poison.Guard
	// evidenceWritten is true once this process has written its record of losses. A record
	// from before is that of an earlier process of the host.
	evidenceWritten atomic.Bool
	// rollouts is nil unless the settings enable rollouts.
	rollouts *rolloutKeeper
	// identity is that of the fleet.
	identity     *identity.Keeper
	refusedPeers refusedPeers
	stalls       *stall.Detector
	front        *http.Server
	// server serves the requests of callers.
	server *edge.Server
	// limiter tracks the connections of callers, which frontListener accepts.
	limiter *connlimit.Limiter
	// router sends requests to targets, relays takes those of other hosts.
	router        *relay.Router
	relays        *relay.Handler
	frontListener net.Listener
	// callers holds off callers that misbehave.
	callers  *callers
	stopping chan struct{}
	// shutdown tells the requests of callers when a stop ends them.
	shutdown *edge.Shutdown
	// started is closed after the state was loaded, once the first-ranked
	// coordinator is reachable or maxCoordinatorWait has passed.
	started chan struct{}
	// cancel ends the background work, closes the listeners for peers, and closes
	// the connections accepted from peers. The HTTP listeners stay open.
	cancel  context.CancelFunc
	closers []io.Closer
}

// Start opens a listener on every address of the settings and serves it. It
// returns an error if a listener cannot be opened. The structured log is written
// to logs.
func Start(s platform.Settings, logs io.Writer) (*Process, error) {
	return start(s, logs, platform.NewStore(s.Platform.Address), platform.NewTargetClient(), nil)
}

// Network opens the connections of a process: those to targets, to other hosts and to the store.
type Network struct{ Targets, Hosts, Store platform.Dial }

// StartInNetwork starts a process that opens all its connections with the functions of a network.
func StartInNetwork(s platform.Settings, logs io.Writer, n Network) (*Process, error) {
	return start(s, logs, platform.NewStoreWithDial(s.Platform.Address, n.Store), platform.NewTargetClientWithDial(n.Targets), n.Hosts)
}

// start starts a process. dialHosts opens its connections to other hosts; nil means the usual ones.
func start(s platform.Settings, logs io.Writer, store *platform.Store, client *platform.TargetClient, dialHosts platform.Dial) (*Process, error) {
	p := build(s, store, logs)
	p.router.Targets = client
	if dialHosts != nil {
		p.peers.Dial = dialHosts
		p.router.DialHosts(dialHosts)
	}
	client.SetMixed(p.origins.Mixed)
	store.OnCall = p.metrics.StoreCalled
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if err := p.listen(ctx); err != nil {
		p.Close()
		return nil, err
	}
	event.ProcessStarted.Log(p.logger, zap.String("address", s.Listen.Front), zap.Bool("bootstrap", s.Bootstrap))
	go p.run(ctx)
	return p, nil
}

// store is what a process uses of the platform's store.
type store interface {
	watch.Store
	originlog.Store
	identity.Store
	statusStore
}

// build assembles a process without listeners that runs no background work yet.
func build(s platform.Settings, store store, logs io.Writer) *Process {
	p := &Process{
		settings: s,
		self: fleet.Host{
			ID: tables.HostID(s.Node), Domain: tables.DomainID(s.Zone),
			Address: s.PeerAddress(), Cores: s.CPULimit(), StatesFleet: true,
		},
		clock:    clockwork.NewRealClock(),
		metrics:  observe.NewEdgeMetrics(),
		mux:      peer.NewMux(),
		stopping: make(chan struct{}),
		shutdown: edge.NewShutdown(),
		started:  make(chan struct{}),
	}
	p.mux.MaxMessageBytes = maxPeerMessageBytes
	p.log = observe.NewBoundedLog(logs)
	p.logger = p.log.Logger(zapcore.InfoLevel).With(zap.String("node", s.Node))
	p.log.OnDropped = func(n int64) { event.LogLinesDropped.Log(p.logger, zap.Int64("lines", n)) }
	go p.log.Run()
	p.peers = peer.NewPool(context.Background(), peer.Hello{Host: p.self.ID, Role: "edge"}, p.mux, p.clock)
	p.links = links.New(p.self, p.peers, p.clock, p.logger)
	p.state = watch.NewState(platform.Decoder{Rollouts: s.Rollouts()}, p.logger)
	p.registerStreams()
	p.watcher = watch.NewWatcher(p.self, p.state, store, p.links, p.clock, p.logger)
	p.watcher.FirstStart = s.Bootstrap
	p.connectIdentity(store)
	p.replicator = watch.NewReplicator(p.self, p.watcher, p.links, p.mux, p.clock, p.logger)
	p.replicator.TrustsStateOf = func(h peer.Hello) bool { return p.identity.TrustsStateOf(claimOf(h)) }
	p.coordinator = pool.NewCoordinator(p.state, policyOf(s), rand.Float64, p.coordinatorShare, func() int { return 1 }, p.clock, p.logger)
	p.fallback = pool.NewCoordinator(p.state, policyOf(s), rand.Float64, p.fallbackShare, p.watcher.HostsSeen, p.clock, p.logger)
	p.fallback.MemoryDivisor = func() int { return p.watcher.HostCount().Most() }
	p.coordinator.HostCount, p.fallback.HostCount = p.watcher.SettledHostCount, p.watcher.SettledHostCount
	firstSlotRequestID := xxhash.Sum64String(s.Node+p.clock.Now().String()) &^ 0xffffffff
	p.client = pool.NewClient(p.self, p.links, p.coordinator, p.fallback, firstSlotRequestID, policyOf(s).Quota.Window, p.clock, p.logger)
	p.client.HostCount = p.watcher.SettledHostCount
	p.limitMemory(s.LimitsMemory())
	p.client.Register(p.mux)
	p.coordinator.OnRefusal, p.fallback.OnRefusal = p.countRefusal, p.countRefusal
	p.origins = pool.NewOrigins(p.clock)
	p.client.ResumedSince = func(at time.Time) bool { return p.stalls.ResumedSince(at) }
	p.stalls = stall.New(p.clock, stall.BootTime)
	p.stalls.OnResume = p.onResume
	p.watcher.ResumedAt = func() time.Time { return p.stalls.ResumedAt() }
	p.state.OnChange = p.onChange
	p.replicator.OnDetach = p.coordinator.ReleaseHost
	p.links.OnConnect = p.onConnect
	p.connectOrigins()
	p.originLog = &originlog.Log{Store: store, Origins: p.origins, Coordinator: p.isCoordinator, Clock: p.clock, Logger: p.logger}
	p.connectRollouts(store)
	p.poison = poison.NewGuard(p.clock, p.logger)
	p.poison.Peers = poisonPeers{p}
	p.poison.Excused = p.coordinator.OverMemory
	p.poison.Self = p.self.ID
	p.poison.OnTrial = func(result string) { p.metrics.CauseTried(result) }
	p.poison.OnRelease = func(by string) { p.metrics.CauseReleased(by) }
	p.poison.Register(p.mux)
	p.router = relay.NewRouter()
	p.router.Self, p.router.Hosts, p.router.Target, p.router.Listed = p.self, p.state.Hosts, p.state.Target, p.state.Targets
	p.router.Claim, p.router.Judge = p.identity.Claim, p.judgeRelay
	p.router.Clock, p.router.Logger = p.clock, p.logger
	p.client.Paths = p.router
	p.callers = newCallers(p)
	p.relays = &relay.Handler{Router: p.router, Logger: p.logger, Stopping: p.isStopping, Budget: p.callers.budget}
	return p
}

func policyOf(s platform.Settings) pool.Policy {
	b := s.Bounds
	return pool.Policy{
		// FairShares stays off: docs/decisions/policy-platform.md has what it gains and costs.
		FairShares: false,
		Quota: quota.Bounds{
			Window:    time.Duration(b.QuotaWindowS * float64(time.Second)),
			Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack,
		},
		Retry: retry.Budget{
			Ratio: b.RetryBudgetRatio * retryBudgetShare, Slack: b.BudgetSlack * retryBudgetShare,
			Window: time.Duration(b.BudgetWindowS * float64(time.Second)),
		},
	}
}

// registerStreams adds the metrics of what this host knows of the store.
func (p *Process) registerStreams() {
	for _, name := range watch.Streams() {
		p.metrics.RegisterStream(string(name), func() observe.StreamExtent {
			return observe.StreamExtent{End: p.state.Mark(name).End, Keys: p.state.KeyCount(name)}
		})
	}
	p.metrics.RegisterKeyRequired(func() bool {
		config := p.state.Config()
		return config != nil && config.KeyRequired
	})
}

// coordinatorShare returns the fraction of quotas and retry budgets that this
// host may grant as the coordinator: this host and the hosts attached to it, as a
// fraction of all hosts. The others may be using their local fallback.
func (p *Process) coordinatorShare() float64 {
	return p.watcher.HostCount().Share(len(p.replicator.Attached()) + 1)
}

func (p *Process) fallbackShare() float64 { return p.watcher.HostCount().Share(1) }

func (p *Process) onChange(s watch.Stream) {
	switch s {
	case watch.Hosts:
		p.reloadHosts()
		p.origins.Import(p.state.Versions())
		p.importPoison()
		p.rollouts.reload()
	default:
		p.rollouts.reload()
		p.observeTargets()
		estimates := p.client.Estimates()
		p.coordinator.ReloadTargets(estimates)
		p.fallback.ReloadTargets(estimates)
		p.replicator.Wake()
	}
}

// reloadHosts ranks the hosts anew, unless only records have changed that the hosts share.
func (p *Process) reloadHosts() {
	ranked := owner.SpreadDomains(owner.Ranked(coordinatorRankSeed, p.state.Hosts()), links.MaxLinks)
	p.mu.Lock()
	unchanged := slices.Equal(ranked, p.rankedHosts)
	p.rankedHosts = ranked
	p.mu.Unlock()
	if unchanged {
		return
	}
	p.links.SetHosts(ranked)
	event.HostsChanged.Log(p.logger, zap.Int("hosts", len(ranked)))
}

// onConnect is called after a connection to a host was established.
func (p *Process) onConnect(ctx context.Context, host fleet.Host, conn *peer.Conn) error {
	if err := p.replicator.Attach(ctx, conn); err != nil {
		return err
	}
	p.shareOrigins(host.ID, conn)
	p.poison.ShareWith(conn)
	return nil
}

// onResume is called after the process did not run for a while.
func (p *Process) onResume(length time.Duration) {
	event.ProcessResumed.Log(p.logger, zap.Duration("after", length))
	p.watcher.Resume()
	p.coordinator.Resume()
	p.fallback.Resume()
}

// upToDate reports whether the configuration and the targets have been confirmed
// since the process last resumed after a stall.
func (p *Process) upToDate() bool { return p.watcher.UpdatedSince(p.stalls.ResumedAt()) }

// listen opens a listener on every address and serves it.
func (p *Process) listen(ctx context.Context) error {
	s := p.settings
	server := &edge.Server{
		Started: p.started, UpToDate: p.upToDate, Directory: p.state, Slots: p.client, Transport: p.router,
		Clock: p.clock, Logger: p.logger, Metrics: p.metrics, Poison: p.poison, Shutdown: p.shutdown,
		Budget: p.callers.budget,
	}
	p.server = server
	p.router.OnEndJudged = func(v answerend.Verdict, decisive string) { p.metrics.UnframedEnded(v.String(), decisive) }
	p.router.Stale = func(since time.Time) bool { return p.stalls.ResumedSince(since) && !p.upToDate() }
	p.router.OnNotice, p.router.QuietFor, p.router.Departed = server.RecordNotice, server.QuietFor, p.state.Departed
	p.front = observe.NewServer(&platform.FrontHandler{Clock: p.clock, OnUnread: p.callers.refusedRequest, Server: server})
	p.limiter = p.callers.limit(p.front, portFront, p.callers.bounds.conns, p.connTimeouts)
	metrics := observe.NewServer(p.metrics.Handler())
	ready := observe.NewServer(platform.Readiness(p.ready))
	metricsAddress := fmt.Sprintf("%s:%d", s.IP, s.InternalPorts[0]+metricsPortOffset)
	frontListener, err := p.serve(s.Listen.Front, func(l net.Listener) error { return p.front.Serve(p.limiter.Listener(l)) })
	if err != nil {
		return err
	}
	p.frontListener = frontListener
	relays := observe.NewServer(p.relays)
	ports := p.callers.otherPorts(ready, metrics, relays)
	for address, server := range map[string]*http.Server{s.Listen.Ready: ready, metricsAddress: metrics, relay.Address(p.self.Address): relays} {
		if _, err := p.serve(address, func(l net.Listener) error { return server.Serve(ports.listener(server, l)) }); err != nil {
			return err
		}
	}
	for _, address := range []string{p.self.Address, s.Listen.Control} {
		if address == "" {
			continue
		}
		_, err := p.serve(address, func(l net.Listener) error { return peer.Serve(ctx, l, p.mux, "", p.clock) })
		if err != nil {
			return err
		}
	}
	return nil
}

// connTimeouts returns the timeouts currently in force for callers'
// connections.
func (p *Process) connTimeouts() connlimit.Timeouts {
	timeouts := connlimit.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	config := p.state.Config()
	if config == nil {
		return timeouts
	}
	if t := config.Limits.HeaderTimeout; t > 0 {
		timeouts.Header = t
	}
	if t := config.Limits.IdleTimeout; t > 0 {
		timeouts.Idle = t + idleMargin
	}
	return timeouts
}

// serve opens a listener and runs serve with it in the background.
func (p *Process) serve(address string, serve func(net.Listener) error) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p.closers = append(p.closers, listener)
	go func() {
		if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			event.ListenerFailed.Log(p.logger, zap.String("address", address), zap.Error(err))
		}
	}()
	return listener, nil
}

// ready reports whether the configuration and the targets are known and the
// process is not stopping.
func (p *Process) ready() bool { return !p.isStopping() && p.state.Complete() }

func (p *Process) isStopping() bool {
	select {
	case <-p.stopping:
		return true
	default:
		return false
	}
}

// Reload rereads the settings file at path. Bounds, seeds and the grace
// period take effect immediately. A change of the addresses is logged and takes
// effect at the next start. An invalid file is ignored and logged.
func (p *Process) Reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		event.SettingsReloaded.Log(p.logger, zap.String("path", path), zap.Error(err))
		return
	}
	p.mu.Lock()
	old := p.settings
	p.settings = s
	p.mu.Unlock()
	p.coordinator.SetPolicy(policyOf(s))
	p.fallback.SetPolicy(policyOf(s))
	p.rollouts.reload()
	event.SettingsReloaded.Log(p.logger, zap.String("path", path), zap.Bool("addresses_changed", old.Listen != s.Listen))
}

// currentSettings returns the settings in force.
func (p *Process) currentSettings() platform.Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// Ready reports whether the process can serve requests.
func (p *Process) Ready() bool { return p.ready() }
