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

// Caller sends one message to a peer. *peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Applier applies the dispatcher's view of the hosts to a membership table.
// *members.Members implements it.
type Applier interface {
	ApplyFeed(age time.Duration, views []tables.HostView, heartbeats []peer.Heartbeat)
}

// ClientOptions configure a Client.
type ClientOptions struct {
	Host tables.HostID
	Role string
	// Dispatcher is the host:port of the peer listener of this host's dispatcher.
	Dispatcher string
	Caller     Caller
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Log        ports.Log
	List       ports.HostList
	// ConfigVersion returns the configuration version in force in this process.
	ConfigVersion func() uint64
}

// Client receives the feed in a gate or a controller. It is safe for
// concurrent use.
type Client struct {
	opts     ClientOptions
	tail     *tail
	changed  chan struct{}
	suspects chan tables.HostID

	mu sync.Mutex
	// sourceID and lastRevision are the Source and Revision of the last
	// response. lastRevision is 0 after a failed poll, so that the next response
	// is complete.
	sourceID     int64
	lastRevision uint64
	// asOf is a lower bound for the time at which the dispatcher composed the
	// last response. listReadAt and logReadAt are lower bounds for the times at
	// which the dispatcher last read the host list and the end of the
	// configuration stream. All three are zero when unknown.
	asOf, listReadAt, logReadAt time.Time
	lastListing                 *ports.Listing
	lost                        chan struct{}
	connected                   bool
}

// NewClient returns a Client that receives nothing until Run is called.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:     opts,
		tail:     newTail(opts.Clock),
		changed:  make(chan struct{}, 1),
		suspects: make(chan tables.HostID, maxPendingSuspects),
		lost:     make(chan struct{}),
	}
}

// Log returns the log through which this process must read the configuration.
func (c *Client) Log() ports.Log { return &clientLog{Log: c.opts.Log, client: c} }

// List returns the host list through which this process must read listings.
func (c *Client) List() ports.HostList { return &clientList{HostList: c.opts.List, client: c} }

// Fresh reports whether the last poll succeeded and its response is less than
// maxFeedAge old.
func (c *Client) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.within(c.asOf, maxFeedAge)
}

// Changed delivers a value when a new listing has arrived, the dispatcher's
// listing is too old, or the feed was lost.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Suspect reports an unresponsive host to the dispatcher. The report is dropped
// if maxPendingSuspects reports are already queued.
func (c *Client) Suspect(id tables.HostID) {
	select {
	case c.suspects <- id:
	default:
	}
}

// Run polls the dispatcher and forwards suspects until ctx ends, and returns
// the error of ctx.
func (c *Client) Run(ctx context.Context, members Applier) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.pollLoop(ctx, members) })
	g.Go(func() error { return c.suspectLoop(ctx) })
	return g.Wait()
}

func (c *Client) pollLoop(ctx context.Context, members Applier) error {
	for ctx.Err() == nil {
		next := c.opts.Clock.After(minPollInterval)
		if err := c.poll(ctx, members); err != nil && ctx.Err() == nil {
			c.disconnect(err)
			next = c.opts.Clock.After(retryBackoff)
		}
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
	return ctx.Err()
}

func (c *Client) poll(ctx context.Context, members Applier) error {
	req := c.request()
	sent := c.opts.Clock.Now()
	callCtx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, maxFeedAge)
	defer cancel()
	var resp peer.Feed
	if err := c.opts.Caller.Call(callCtx, c.opts.Dispatcher, peer.MethodFeed, req, &resp); err != nil {
		return err
	}
	if resp.Host != c.opts.Host {
		return fmt.Errorf("dispatcher at %s is of host %q, not %q", c.opts.Dispatcher, resp.Host, c.opts.Host)
	}
	c.apply(sent.Add(resp.Waited), req, resp)
	members.ApplyFeed(c.opts.Clock.Now().Sub(sent)-resp.Waited, resp.Hosts, resp.Heartbeats)
	return nil
}

func (c *Client) request() peer.FeedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peer.FeedRequest{
		Role: c.opts.Role, ConfigVersion: c.opts.ConfigVersion(), Source: c.sourceID, Seen: c.lastRevision,
		LogNext: c.tail.end(), Wait: longPollTimeout,
	}
}

// apply records a response that was composed at asOf or later.
func (c *Client) apply(asOf time.Time, req peer.FeedRequest, f peer.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sourceID, c.lastRevision, c.asOf = f.Source, f.Revision, asOf
	c.listReadAt, c.logReadAt = time.Time{}, time.Time{}
	if f.ListAge >= 0 {
		c.listReadAt = asOf.Add(-f.ListAge)
	}
	if f.Log != nil && f.LogAge >= 0 {
		c.logReadAt = asOf.Add(-f.LogAge)
	}
	if f.Log != nil {
		c.tail.add(c.logReadAt, req.LogNext, *f.Log)
	} else {
		c.tail.notify()
	}
	if f.Listing != nil {
		c.lastListing = f.Listing
	}
	if f.Listing != nil || !c.within(c.listReadAt, maxListAge) {
		c.notify()
	}
	if !c.connected {
		c.connected = true
		event.FeedConnected.Log(c.opts.Logger, zap.String("dispatcher", c.opts.Dispatcher))
	}
}

// disconnect marks the feed as lost, so that this process reads the host list
// and the log itself at once.
func (c *Client) disconnect(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asOf, c.listReadAt, c.logReadAt = time.Time{}, time.Time{}, time.Time{}
	// Requests the complete state at the next successful poll. That state replaces
	// what this process reads itself in the meantime.
	c.lastRevision = 0
	close(c.lost)
	c.lost = make(chan struct{})
	if c.connected {
		c.connected = false
		event.FeedLost.Log(c.opts.Logger, zap.String("dispatcher", c.opts.Dispatcher), zap.Error(cause))
		c.notify()
	}
}

func (c *Client) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// within reports whether t is set and less than maxAge ago. The caller must
// hold c.mu.
func (c *Client) within(t time.Time, maxAge time.Duration) bool {
	return !t.IsZero() && c.opts.Clock.Now().Sub(t) < maxAge
}

// logFresh reports whether the feed is fresh and the dispatcher has recently
// read the end of the configuration stream.
func (c *Client) logFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.within(c.asOf, maxFeedAge) && c.within(c.logReadAt, maxLogAge)
}

// feedLost returns a channel that is closed at the next failed poll.
func (c *Client) feedLost() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// listing returns the dispatcher's last listing, nil before the first one, and
// whether both the feed and the listing are fresh.
func (c *Client) listing() (*ports.Listing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFresh := c.lastListing != nil && c.within(c.asOf, maxFeedAge) && c.within(c.listReadAt, maxListAge)
	return c.lastListing, isFresh
}

// suspectLoop forwards suspects to the dispatcher. It ignores failed calls,
// because this process also sends heartbeats to the suspects itself.
func (c *Client) suspectLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-c.suspects:
			callCtx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, maxFeedAge)
			_ = c.opts.Caller.Call(callCtx, c.opts.Dispatcher, peer.MethodSuspect, peer.Suspect{Host: id}, nil)
			cancel()
		}
	}
}
