package feed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Caller sends one message to a peer; *peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Taker takes what the dispatcher knows of hosts; *members.Members is one.
type Taker interface {
	Take(age time.Duration, views []tables.HostView, beats []peer.Heartbeat)
}

// ClientOptions are the parts of a Client.
type ClientOptions struct {
	Host tables.HostID
	Role string
	// Dispatcher is host:port of the peer listener of this host's dispatcher.
	Dispatcher string
	Caller     Caller
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Log        ports.Log
	List       ports.HostList
	// Version returns the configuration version in force in this process.
	Version func() uint64
}

// Client is the fed end, in gate and controller. It is safe for concurrent
// use.
type Client struct {
	opts     ClientOptions
	tail     *tail
	news     chan struct{}
	suspects chan tables.HostID

	mu sync.Mutex
	// source and seen are those of the last answer.
	source int64
	seen   uint64
	// asOf is a time at or before which the last answer was composed; listed
	// and logged are the same for the listing and the end of the log.
	asOf, listed, logged time.Time
	last                 *ports.Listing
	lost                 chan struct{}
	up                   bool
}

// NewClient returns a Client that is fed by nobody until Run.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:     opts,
		tail:     newTail(opts.Clock),
		news:     make(chan struct{}, 1),
		suspects: make(chan tables.HostID, suspectsAtOnce),
		lost:     make(chan struct{}),
	}
}

// Log returns the log that this process has to read the configuration with.
func (c *Client) Log() ports.Log { return &clientLog{Log: c.opts.Log, client: c} }

// List returns the host list that this process has to read.
func (c *Client) List() ports.HostList { return &clientList{HostList: c.opts.List, client: c} }

// Fed reports whether the dispatcher's view is recent.
func (c *Client) Fed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent(c.asOf, feedBound)
}

// Changed delivers when a listing has come or the feed was lost.
func (c *Client) Changed() <-chan struct{} { return c.news }

// Suspect names a host that did not answer to the dispatcher. One too many is
// dropped.
func (c *Client) Suspect(id tables.HostID) {
	select {
	case c.suspects <- id:
	default:
	}
}

// Run polls the dispatcher until ctx ends, and returns its error.
func (c *Client) Run(ctx context.Context, members Taker) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.pollLoop(ctx, members) })
	g.Go(func() error { return c.suspectLoop(ctx) })
	return g.Wait()
}

func (c *Client) pollLoop(ctx context.Context, members Taker) error {
	for ctx.Err() == nil {
		gap := c.opts.Clock.After(pollGap)
		if err := c.poll(ctx, members); err != nil && ctx.Err() == nil {
			c.lose(err)
			gap = c.opts.Clock.After(retryPause)
		}
		select {
		case <-ctx.Done():
		case <-gap:
		}
	}
	return ctx.Err()
}

func (c *Client) poll(ctx context.Context, members Taker) error {
	q := c.request()
	sent := c.opts.Clock.Now()
	bounded, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, feedBound)
	defer cancel()
	var answer peer.Feed
	if err := c.opts.Caller.Call(bounded, c.opts.Dispatcher, peer.MethodFeed, q, &answer); err != nil {
		return err
	}
	if answer.Host != c.opts.Host {
		return fmt.Errorf("dispatcher at %s is of host %q, not %q", c.opts.Dispatcher, answer.Host, c.opts.Host)
	}
	c.take(sent.Add(answer.Waited), q, answer)
	members.Take(c.opts.Clock.Now().Sub(sent)-answer.Waited, answer.Hosts, answer.Heartbeats)
	return nil
}

func (c *Client) request() peer.FeedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peer.FeedRequest{
		Role: c.opts.Role, ConfigVersion: c.opts.Version(), Source: c.source, Seen: c.seen,
		LogNext: c.tail.end(), Wait: pollWait,
	}
}

// take notes an answer that was composed at asOf or later.
func (c *Client) take(asOf time.Time, q peer.FeedRequest, f peer.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.seen, c.asOf = f.Source, f.Revision, asOf
	c.listed, c.logged = time.Time{}, time.Time{}
	if f.ListAge >= 0 {
		c.listed = asOf.Add(-f.ListAge)
	}
	if f.Log != nil && f.LogAge >= 0 {
		c.logged = asOf.Add(-f.LogAge)
	}
	if f.Log != nil {
		c.tail.note(c.logged, q.LogNext, *f.Log)
	} else {
		c.tail.wake()
	}
	if f.Listing != nil {
		c.last = f.Listing
	}
	if f.Listing != nil || !c.recent(c.listed, listBound) {
		c.signal()
	}
	if !c.up {
		c.up = true
		event.FeedConnected.Log(c.opts.Logger, zap.String("dispatcher", c.opts.Dispatcher))
	}
}

// lose ends the feed, so that this process reads for itself at once.
func (c *Client) lose(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asOf, c.listed, c.logged = time.Time{}, time.Time{}, time.Time{}
	// What this process finds out by itself meanwhile is replaced at the return
	// by all that the dispatcher knows.
	c.seen = 0
	close(c.lost)
	c.lost = make(chan struct{})
	if c.up {
		c.up = false
		event.FeedLost.Log(c.opts.Logger, zap.String("dispatcher", c.opts.Dispatcher), zap.Error(cause))
		c.signal()
	}
}

func (c *Client) signal() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// recent reports whether a time is within a bound; c.mu is held.
func (c *Client) recent(t time.Time, bound time.Duration) bool {
	return !t.IsZero() && c.opts.Clock.Now().Sub(t) < bound
}

// logFed reports whether the dispatcher has the end of the log.
func (c *Client) logFed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent(c.asOf, feedBound) && c.recent(c.logged, logBound)
}

func (c *Client) lostFeed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// listing returns the dispatcher's last listing, nil before the first one, and
// whether it is recent.
func (c *Client) listing() (*ports.Listing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := c.last != nil && c.recent(c.asOf, feedBound) && c.recent(c.listed, listBound)
	return c.last, fresh
}

// suspectLoop passes suspects on; a dispatcher that does not answer is no
// loss, because this process then tries them itself.
func (c *Client) suspectLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-c.suspects:
			bounded, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, feedBound)
			_ = c.opts.Caller.Call(bounded, c.opts.Dispatcher, peer.MethodSuspect, peer.Suspect{Host: id}, nil)
			cancel()
		}
	}
}
