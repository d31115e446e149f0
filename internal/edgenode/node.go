// Package edgenode wires the parts of the edge process of one host.
package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/connlimit"
	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/repeat"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
	"github.com/bluebellseam/bluebellseam/platform"
)

const (
	// metricsPortOffset is that of the metrics port from the first internal one.
	metricsPortOffset = 1
	// homeKey orders the hosts for the role of the home.
	homeKey = "home"
	// loadTimeout bounds one attempt to learn the state at the start.
	loadTimeout = 2 * time.Second
	loadPause   = 200 * time.Millisecond
	// homeWait bounds the wait for the home at the start; homePoll is the time
	// between two looks.
	homeWait = 300 * time.Millisecond
	homePoll = 10 * time.Millisecond
	// repeatShare of the platform's budget of repeats is used.
	repeatShare = 0.6
	// leaveRotation is how long the platform takes to see that a host is not
	// ready; until then it sends new connections.
	leaveRotation = 2500 * time.Millisecond
	// exitMargin is kept of the grace time for the end of the process.
	exitMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout hold where the configuration sets none.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// idleMargin keeps a connection beyond the configured idle time, since the
	// caller counts from an earlier moment.
	idleMargin = time.Second
)

// Process is a running edge.
type Process struct {
	mu       sync.Mutex
	settings platform.Settings

	self     fleet.Host
	log      *observe.BoundedLog
	logger   *zap.Logger
	clock    clockwork.Clock
	metrics  *observe.Edge
	mux      *peer.Mux
	peers    *peer.Pool
	links    *links.Links
	state    *watch.State
	watcher  *watch.Watcher
	sharer   *watch.Sharer
	own      *pool.Home
	alone    *pool.Home
	client   *pool.Client
	front    *http.Server
	stopping chan struct{}
	// started is closed when requests can be served as well as ever.
	started chan struct{}
	// cancel ends everything but the requests in flight.
	cancel  context.CancelFunc
	closers []io.Closer
}

// Start opens every address of the settings and serves it. Errors are those of
// listeners. logs receives the structured log.
func Start(s platform.Settings, logs io.Writer) (*Process, error) {
	p := build(s, logs)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if err := p.listen(ctx); err != nil {
		p.Close()
		return nil, err
	}
	event.ProcessStarted.Log(p.logger, zap.String("address", s.Listen.Front), zap.Bool("bootstrap", s.Bootstrap))
	go p.follow(ctx)
	return p, nil
}

func build(s platform.Settings, logs io.Writer) *Process {
	p := &Process{
		settings: s,
		self: fleet.Host{
			ID: tables.HostID(s.Node), Domain: tables.DomainID(s.Zone),
			Address: s.PeerAddress(), Cores: s.Capacity(),
		},
		clock:    clockwork.NewRealClock(),
		metrics:  observe.NewEdge(),
		mux:      peer.NewMux(),
		stopping: make(chan struct{}),
		started:  make(chan struct{}),
	}
	p.log = observe.NewBoundedLog(logs)
	p.logger = p.log.Logger(zapcore.InfoLevel).With(zap.String("node", s.Node))
	p.log.Dropped = func(n int64) { event.LogLinesLeftOut.Log(p.logger, zap.Int64("lines", n)) }
	go p.log.Run()
	p.peers = peer.NewPool(context.Background(), peer.Hello{Host: p.self.ID, Role: "edge"}, p.mux, p.clock)
	p.links = links.New(p.self, p.peers, p.clock, p.logger)
	p.state = watch.NewState(platform.Decoder{}, p.logger)
	store := platform.NewStore(s.Platform.Address)
	store.Called = p.metrics.StoreCalled
	p.watcher = watch.NewWatcher(p.self, p.state, store, p.links, p.clock, p.logger)
	p.sharer = watch.NewSharer(p.self, p.watcher, p.links, p.mux, p.clock, p.logger)
	p.own = pool.NewHome(p.state, policyOf(s), rand.Float64, p.homeShare, func() int { return 1 }, p.clock, p.logger)
	p.alone = pool.NewHome(p.state, policyOf(s), rand.Float64, p.aloneShare, p.links.Hosts, p.clock, p.logger)
	first := xxhash.Sum64String(s.Node+p.clock.Now().String()) &^ 0xffffffff
	p.client = pool.NewClient(p.self, p.links, p.own, p.alone, first, policyOf(s).Quota.Window, p.clock, p.logger)
	p.client.Register(p.mux)
	p.state.Changed = p.changed
	p.sharer.Detached = p.own.Forget
	p.links.Connected = func(ctx context.Context, _ fleet.Host, conn *peer.Conn) error { return p.sharer.Attach(ctx, conn) }
	return p
}

func policyOf(s platform.Settings) pool.Policy {
	b := s.Bounds
	return pool.Policy{
		Quota: quota.Bounds{
			Window:    time.Duration(b.QuotaWindowS * float64(time.Second)),
			Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack,
		},
		Repeat: repeat.Budget{
			Ratio: b.RetryBudgetRatio * repeatShare, Slack: b.BudgetSlack * repeatShare,
			Window: time.Duration(b.BudgetWindowS * float64(time.Second)),
		},
	}
}

// homeShare is the part of the quotas that this host gives out as home: that
// of the hosts attached to it, since the others may be deciding alone.
func (p *Process) homeShare() float64 {
	return min(float64(len(p.sharer.Attached())+1)/float64(p.links.Hosts()), 1)
}

func (p *Process) aloneShare() float64 { return 1 / float64(p.links.Hosts()) }

func (p *Process) changed(s watch.Stream) {
	switch s {
	case watch.Hosts:
		ranked := owner.Ranked(homeKey, p.state.Hosts())
		p.links.SetHosts(ranked)
		event.HostsChanged.Log(p.logger, zap.Int("hosts", len(ranked)))
	default:
		learned := p.client.Learned()
		p.own.Refresh(learned)
		p.alone.Refresh(learned)
	}
	p.sharer.Wake()
}

// listen opens every address and serves it.
func (p *Process) listen(ctx context.Context) error {
	s := p.settings
	p.front = observe.NewServer(&platform.Front{
		Clock: p.clock,
		Server: &edge.Server{
			Started: p.started, Directory: p.state, Places: p.client, Targets: platform.NewTargets(),
			Clock: p.clock, Logger: p.logger, Metrics: p.metrics,
		},
	})
	connlimit.New(p.clock, p.connTimes).Watch(p.front)
	metrics := observe.NewServer(p.metrics.Handler())
	ready := observe.NewServer(platform.Readiness(p.ready))
	metricsAddress := fmt.Sprintf("%s:%d", s.IP, s.InternalPorts[0]+metricsPortOffset)
	for address, server := range map[string]*http.Server{s.Listen.Front: p.front, s.Listen.Ready: ready, metricsAddress: metrics} {
		if err := p.serve(address, server.Serve); err != nil {
			return err
		}
	}
	for _, address := range []string{p.self.Address, s.Listen.Control} {
		if address == "" {
			continue
		}
		err := p.serve(address, func(l net.Listener) error { return peer.Serve(ctx, l, p.mux, "", p.clock) })
		if err != nil {
			return err
		}
	}
	return nil
}

// connTimes are the limits of callers' connections in force.
func (p *Process) connTimes() connlimit.Times {
	times := connlimit.Times{Header: headerTimeout, Idle: idleTimeout}
	config := p.state.Config()
	if config == nil {
		return times
	}
	if t := config.Limits.HeaderTimeout; t > 0 {
		times.Header = t
	}
	if t := config.Limits.IdleTimeout; t > 0 {
		times.Idle = t + idleMargin
	}
	return times
}

func (p *Process) serve(address string, serve func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.closers = append(p.closers, listener)
	go func() {
		if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			event.ListenerFailed.Log(p.logger, zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

// ready reports whether the host can serve every request that the
// configuration allows.
func (p *Process) ready() bool {
	select {
	case <-p.stopping:
		return false
	default:
		return p.state.Complete()
	}
}

// follow learns the state and keeps it up to date.
func (p *Process) follow(ctx context.Context) {
	for ctx.Err() == nil && !p.load(ctx) {
		p.clock.Sleep(loadPause)
	}
	go p.links.Run(ctx)
	go p.sharer.Run(ctx)
	go p.client.Maintain(ctx, p.sharer.Post)
	go p.awaitHome()
	p.watcher.Run(ctx)
}

// awaitHome marks the process as started once the home answers, or none does
// for homeWait.
func (p *Process) awaitHome() {
	defer close(p.started)
	for waited := time.Duration(0); waited < homeWait && !p.links.FirstAnswers(); waited += homePoll {
		p.clock.Sleep(homePoll)
	}
}

// load reads the store, or asks the seeds while it is away.
func (p *Process) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if p.watcher.Load(ctx) == nil {
		return true
	}
	settings := p.current()
	for _, seed := range settings.Seeds {
		if seed == settings.Listen.Control {
			continue
		}
		conn, err := p.peers.Get(ctx, seed)
		if err == nil {
			err = p.sharer.Attach(ctx, conn)
		}
		if err != nil {
			event.PeerUnreached.Log(p.logger, zap.String("address", seed), zap.Error(err))
			continue
		}
		if p.state.Complete() {
			return true
		}
	}
	return false
}

// Reload reads the settings file at path again. Bounds, seeds and the grace
// time take effect at once; addresses do at the next start, and a change of
// them is logged. A file with an error changes nothing.
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
	p.own.SetPolicy(policyOf(s))
	p.alone.SetPolicy(policyOf(s))
	event.SettingsReloaded.Log(p.logger, zap.String("path", path), zap.Bool("addresses_changed", old.Listen != s.Listen))
}

// current returns the settings in force.
func (p *Process) current() platform.Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// Stop lets requests in flight end within the grace time of the settings and
// closes everything.
func (p *Process) Stop() {
	event.StopRequested.Log(p.logger)
	close(p.stopping)
	settings := p.current()
	ctx, cancel := context.WithTimeout(context.Background(), settings.Grace()-exitMargin)
	defer cancel()
	if err := p.watcher.Withdraw(ctx); err != nil {
		event.StoreLost.Log(p.logger, zap.Error(err))
	}
	p.sharer.Wake()
	p.front.SetKeepAlivesEnabled(false)
	p.clock.Sleep(leaveRotation)
	if err := p.front.Shutdown(ctx); err != nil {
		event.StopBoundPassed.Log(p.logger, zap.Error(err))
	}
	event.ProcessStopped.Log(p.logger)
	p.Close()
}

// Close ends the process at once, as a crash would.
func (p *Process) Close() {
	p.cancel()
	for _, c := range p.closers {
		_ = c.Close()
	}
	_ = p.front.Close()
	p.log.Close()
}

// Ready reports whether the process serves requests.
func (p *Process) Ready() bool { return p.ready() }
