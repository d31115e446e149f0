package pool

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// liveCheck is how often a host that waits for a place looks whether the
	// home still answers.
	liveCheck = 50 * time.Millisecond
	// reportEvery is how long reports wait to go out together.
	reportEvery = 2 * time.Millisecond
	// maintainEvery is how often a host lists its places to the home.
	maintainEvery = time.Second
)

// Client asks the home for places, or decides alone when none answers.
type Client struct {
	self   fleet.Host
	links  *links.Links
	own    *Home
	alone  *Home
	clock  clockwork.Clock
	logger *zap.Logger

	mu      sync.Mutex
	nextID  place.ID
	started time.Time
	open    map[place.ID]openGrant
	tokens  *usage
	learned place.Learned
	limited map[tables.CustomerID]limited
	home    tables.HostID
	// outbox holds the reports that go to each home.
	outbox map[tables.HostID]*reportMessage
}

// Wish is what a request needs of a place.
type Wish struct {
	Request       string
	Service       tables.ServiceID
	Customer      tables.CustomerID
	Tier, Urgency int
	Prompt        int
	Tokens        int
	// Aim is the time left until the first byte is due.
	Aim, GapAim time.Duration
	// Hold is how long the request may wait for a place at all.
	Hold time.Duration
	// Content is equal for requests of equal content.
	Content tables.Fingerprint
	Avoid   []tables.TargetID
	Repeat  bool
}

// NewClient returns a client. own decides when this host is the home; alone
// when no home answers. firstID must differ between hosts and between starts.
// window is the time whose use of tokens a new home is told of.
func NewClient(self fleet.Host, l *links.Links, own, alone *Home, firstID uint64, window time.Duration, clock clockwork.Clock, logger *zap.Logger) *Client {
	return &Client{
		self: self, links: l, own: own, alone: alone, clock: clock, logger: logger,
		nextID:  place.ID(firstID),
		started: clock.Now(),
		open:    make(map[place.ID]openGrant),
		tokens:  newUsage(window),
		limited: make(map[tables.CustomerID]limited),
		outbox:  make(map[tables.HostID]*reportMessage),
	}
}

// Register adds the messages of home and client to mux.
func (c *Client) Register(mux *peer.Mux) {
	peer.Handle(mux, methodAsk, func(ctx context.Context, conn *peer.Conn, m askMessage) (grantMessage, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go cancelWhenDone(ctx, cancel, conn)
		return c.own.Ask(ctx, m)
	})
	peer.Handle(mux, methodReport, func(_ context.Context, _ *peer.Conn, r reportMessage) (struct{}, error) {
		c.own.Report(r)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodAdopt, func(_ context.Context, _ *peer.Conn, a adoptMessage) (struct{}, error) {
		c.own.Adopt(a)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodLearned, func(_ context.Context, _ *peer.Conn, l place.Learned) (struct{}, error) {
		c.takeLearned(l)
		return struct{}{}, nil
	})
}

func cancelWhenDone(ctx context.Context, cancel context.CancelFunc, conn *peer.Conn) {
	select {
	case <-ctx.Done():
	case <-conn.Done():
		cancel()
	}
}

func (c *Client) takeLearned(l place.Learned) {
	c.mu.Lock()
	c.learned = l
	c.mu.Unlock()
	c.own.Learn(l)
	c.alone.Learn(l)
}

// Learned returns what the last home told of targets.
func (c *Client) Learned() place.Learned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.learned
}

func (c *Client) adoptable() adoptMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := adoptMessage{Host: c.self.ID, Hosts: c.links.Hosts(), Tokens: c.tokens.recent(now)}
	m.OverMS = min(now.Sub(c.started), c.tokens.window).Milliseconds()
	for _, g := range c.open {
		m.Open = append(m.Open, g)
	}
	return m
}

// Ask returns a place for a request. Errors have a kind that proves that the
// request was not sent.
func (c *Client) Ask(ctx context.Context, w Wish) (*Grant, error) {
	if err := c.stillLimited(w); err != nil {
		return nil, err
	}
	m := c.message(w)
	for _, live := range c.links.Live() {
		g, err := c.askHome(ctx, live, m)
		if err == nil || !peer.IsBroken(err) {
			return c.finish(w, m, live, g, err)
		}
		if ctx.Err() != nil {
			return nil, errkind.Wrap(ctx.Err(), errkind.CancelledBeforeRun, "the caller left while the request waited")
		}
		m.ID = c.newID()
	}
	event.DecidedAlone.Log(c.logger, zap.String("request", w.Request), zap.String("service", string(w.Service)))
	g, err := c.alone.Ask(ctx, m)
	return c.finish(w, m, links.Live{}, g, err)
}

func (c *Client) newID() place.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return c.nextID
}

func (c *Client) message(w Wish) askMessage {
	return askMessage{
		ID: c.newID(), Request: w.Request, Host: c.self.ID, Domain: c.self.Domain,
		Service: w.Service, Customer: w.Customer, Tier: w.Tier, Urgency: w.Urgency,
		Prompt: w.Prompt, Tokens: w.Tokens,
		AimMS: w.Aim.Milliseconds(), GapMS: w.GapAim.Milliseconds(),
		HoldMS: w.Hold.Milliseconds(), Avoid: w.Avoid, Content: w.Content, Repeat: w.Repeat,
	}
}

func (c *Client) askHome(ctx context.Context, live links.Live, m askMessage) (grantMessage, error) {
	c.noteHome(live)
	if live.Conn == nil {
		return c.own.Ask(ctx, m)
	}
	return c.askPeer(ctx, live, m)
}

// askPeer asks another host and gives up when it falls silent. Errors wrap
// peer.ErrBroken then.
func (c *Client) askPeer(ctx context.Context, live links.Live, m askMessage) (grantMessage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		grant grantMessage
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var g grantMessage
		err := live.Conn.Call(ctx, methodAsk, m, &g)
		done <- result{g, err}
	}()
	for {
		select {
		case r := <-done:
			if r.err != nil && peer.IsBroken(r.err) {
				c.report(live.Host.ID, endReport{ID: m.ID, Service: m.Service, Outcome: place.Left})
			}
			return r.grant, r.err
		case <-c.clock.After(liveCheck):
			if !c.links.Alive(live) {
				cancel()
			}
		}
	}
}

// noteHome tells a new home what this host has in use.
func (c *Client) noteHome(live links.Live) {
	c.mu.Lock()
	old := c.home
	c.home = live.Host.ID
	c.mu.Unlock()
	if old == live.Host.ID {
		return
	}
	event.HomeChanged.Log(c.logger, zap.String("home", string(live.Host.ID)), zap.String("before", string(old)))
	if live.Conn == nil {
		c.own.Adopt(c.adoptable())
		return
	}
	live.Conn.Post(methodAdopt, c.adoptable())
}

// Maintain tells the home once a second what this host has in use, and tells
// the others through post what the own home has learned, until ctx ends.
func (c *Client) Maintain(ctx context.Context, post func(method string, params any)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(maintainEvery):
		}
		best, ok := c.links.Best()
		switch {
		case !ok:
		case best.Conn != nil:
			best.Conn.Post(methodAdopt, c.adoptable())
		default:
			c.own.Adopt(c.adoptable())
			learned := c.own.Learned()
			c.takeLearned(learned)
			post(methodLearned, learned)
		}
	}
}
