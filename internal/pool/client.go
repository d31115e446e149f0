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
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// livenessInterval is the time between checks that the coordinator is still
	// live while a host waits for a slot.
	livenessInterval = 50 * time.Millisecond
	// reportDelay is how long a report is delayed so that further ones can be
	// sent in the same message.
	reportDelay = 2 * time.Millisecond
	// reconcileInterval is how often a host sends the slots that it holds to
	// the coordinator.
	reconcileInterval = time.Second
	// estimatesInterval is how often a coordinator sends its target estimates to the
	// other hosts.
	estimatesInterval = 5 * time.Second
)

// Client acquires slots from the coordinator, or from the local fallback when
// no coordinator can be reached. It is safe for concurrent use.
type Client struct {
	self        fleet.Host
	links       *links.Links
	coordinator *Coordinator
	fallback    *Coordinator
	clock       clockwork.Clock
	logger      *zap.Logger
	// Origins may be nil. The coordinators of this host use the same.
	Origins *Origins
	// LimitMemory is true if the memory of targets is limited.
	LimitMemory bool
	// Paths is what this host knows of its paths to targets. It may be nil.
	Paths PathView
	// HostCount returns the number of hosts of the deployment. If it is nil, none is reported.
	HostCount func() fleet.HostCount
	// ResumedSince reports whether this process has been stalled and has resumed at
	// the given time or later. It tells the coordinator of a stall that was not noticed
	// before. It may be nil.
	ResumedSince func(time.Time) bool

	mu            sync.Mutex
	nextID        allocation.ID
	started       time.Time
	open          map[allocation.ID]openGrant
	slotTimes     slotTimes
	use           *hostUse
	estimates     allocation.Estimates
	limits        namedLimits
	quotaRefusals map[tables.CustomerID]quotaRefusal
	// outbox holds the pending reports for each coordinator.
	outbox map[tables.HostID]*reportMessage
	told   toldPaths
	// rolloutUsages counts the requests of this host since the orders in progress.
	rolloutUsages rolloutUsages
}

// PathView tells which paths to targets a host has lost.
type PathView interface {
	// PathReport returns what the host says of its paths.
	PathReport() reach.Report
	// PathVersion rises with each change of what PathReport returns.
	PathVersion() uint64
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Request  string
	Service  tables.ServiceID
	Customer tables.CustomerID
	// Route is the name of the route.
	Route string
	// Tier and Urgency are those of allocation.SlotRequest.
	Tier, Urgency int
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// HasTokenCounts is true if the caller stated PromptTokens and MaxOutputTokens.
	// OutputHint is how many output tokens it expects; zero if not stated.
	HasTokenCounts  bool
	MaxOutputTokens int
	OutputHint      int
	// QuotaTokens is charged to the customer's quota.
	QuotaTokens int
	// FirstByteBudget is the time left to meet the first-byte SLO. EventGapSLO
	// is zero if there is none.
	FirstByteBudget, EventGapSLO time.Duration
	// MaxWait bounds the wait for a slot.
	MaxWait time.Duration
	// Fingerprint is the same for requests with the same content from the same
	// caller.
	Fingerprint tables.Fingerprint
	// Avoid lists targets that must not be granted.
	Avoid []tables.TargetID
	// Retry is true if the request has already been sent to a target.
	Retry bool
	// Resumable is true for a stream that may go on at another target, but only at one
	// of the software version that began it.
	Resumable bool
	// Resumed is true if the caller already has events of the stream.
	Resumed bool
	// FirstAttempt is the ID of the request that began the stream; empty if that is the
	// request itself.
	FirstAttempt string
	// Version is the software version that began the stream; nil if the sender does not
	// know it.
	Version *tables.SoftwareVersion
	// Again is true if the request has asked for a slot before.
	Again bool
}

// stream returns the stream that the request is part of; zero if it is not part of a
// resumable stream.
func (r SlotRequest) stream() origin.StreamID {
	return streamOf(r.Resumable, r.FirstAttempt, r.Request)
}

// spend takes off a time that the request has waited.
func (r *SlotRequest) spend(waited time.Duration) {
	r.FirstByteBudget -= waited
	r.MaxWait = max(r.MaxWait-waited, 0)
}

// NewClient returns a client. It uses coordinator while this host is the
// coordinator, and fallback when no coordinator can be reached. The IDs of slot
// requests count up from firstID; they must not repeat those of another host or
// of an earlier process. window is the period of token usage that is sent to a
// new coordinator.
func NewClient(self fleet.Host, l *links.Links, coordinator, fallback *Coordinator, firstID uint64, window time.Duration, clock clockwork.Clock, logger *zap.Logger) *Client {
	if fallback != coordinator {
		fallback.restrictRollouts()
	}
	return &Client{
		self: self, links: l, coordinator: coordinator, fallback: fallback, clock: clock, logger: logger,
		nextID:        allocation.ID(firstID),
		started:       clock.Now(),
		open:          make(map[allocation.ID]openGrant),
		use:           newHostUse(clock.Now(), window),
		quotaRefusals: make(map[tables.CustomerID]quotaRefusal),
		outbox:        make(map[tables.HostID]*reportMessage),
	}
}

// Register registers the handlers for messages to the coordinator and to the
// client.
func (c *Client) Register(mux *peer.Mux) {
	peer.Handle(mux, methodRequestSlot, func(ctx context.Context, conn *peer.Conn, m slotRequestMessage) (grantMessage, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go cancelWhenDone(ctx, cancel, conn)
		return c.currentCoordinator().Acquire(ctx, m)
	})
	handleReport(c, mux, methodReport, (*Coordinator).Report)
	handleReport(c, mux, methodReconcile, (*Coordinator).Reconcile)
	handleReport(c, mux, methodLeave, (*Coordinator).Leave)
	handleReport(c, mux, methodHost, (*Coordinator).RecordHost)
	peer.Handle(mux, methodEstimates, func(_ context.Context, _ *peer.Conn, estimates allocation.Estimates) (struct{}, error) {
		c.setEstimates(estimates)
		return struct{}{}, nil
	})
	peer.Handle(mux, MethodOrigins, func(_ context.Context, _ *peer.Conn, batch origin.Batch) (struct{}, error) {
		c.Origins.Merge(batch)
		return struct{}{}, nil
	})
}

// handleReport registers the handler of a message that tells the coordinator something.
func handleReport[M any](c *Client, mux *peer.Mux, method string, record func(*Coordinator, M)) {
	peer.Handle(mux, method, func(_ context.Context, _ *peer.Conn, m M) (struct{}, error) {
		record(c.currentCoordinator(), m)
		return struct{}{}, nil
	})
}

// currentCoordinator returns the coordinator of this host for a message of another one. If this
// process has just resumed after a stall, the coordinator is told first: messages may arrive
// before the timer that checks for stalls.
func (c *Client) currentCoordinator() *Coordinator {
	if c.ResumedSince != nil {
		c.ResumedSince(c.clock.Now())
	}
	return c.coordinator
}

// ShareOrigins sends all that this host knows of the versions that began streams to
// the host at the other end of conn, if a service has several versions.
func (c *Client) ShareOrigins(conn *peer.Conn) {
	if batch := c.Origins.All(); len(batch) > 0 {
		conn.NotifyAsync(MethodOrigins, batch)
	}
}

func cancelWhenDone(ctx context.Context, cancel context.CancelFunc, conn *peer.Conn) {
	select {
	case <-ctx.Done():
	case <-conn.Done():
		cancel()
	}
}

func (c *Client) setEstimates(estimates allocation.Estimates) {
	c.mu.Lock()
	c.estimates = estimates
	c.mu.Unlock()
	c.coordinator.SetEstimates(estimates)
	c.fallback.SetEstimates(estimates)
}

// Estimates returns the target estimates last received from a coordinator.
func (c *Client) Estimates() allocation.Estimates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimates
}

// reportedHostCount returns the number of hosts, or zero if it is not known.
func (c *Client) reportedHostCount() int {
	if c.HostCount == nil {
		return 0
	}
	n, _ := c.HostCount().Known()
	return n
}

func (c *Client) newReconcileMessage() reconcileMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := reconcileMessage{Host: c.self.ID, HostCount: c.reportedHostCount(), UsedTokens: c.use.usage.recent(now), Use: c.use.report(now), coordinatorUse: c.use.address(now)}
	m.UsageWindowMS = min(now.Sub(c.started), c.use.usage.window).Milliseconds()
	mixed := c.Origins != nil && c.Origins.Mixed()
	for _, g := range c.open {
		if !mixed {
			g.Stream, g.Version = 0, nil
		}
		m.Open = append(m.Open, g)
	}
	if c.coordinator.fairShares.Load() {
		m.SlotTime = c.slotTimes.reports(now, c.open)
	}
	m.Limits = c.limits.reports(now)
	m.Rollouts = c.rolloutReports()
	if c.Paths != nil {
		state := c.hostMessage()
		m.State = &state
	}
	return m
}

// Acquire blocks until the request has a slot, is refused, or ctx ends. An error
// means that the request has no slot and must not be sent to a target.
func (c *Client) Acquire(ctx context.Context, r SlotRequest) (*Grant, error) {
	for {
		requestedAt := c.clock.Now()
		grant, err := c.acquire(ctx, r, requestedAt)
		if err != nil || c.ResumedSince == nil || !c.ResumedSince(requestedAt) {
			return grant, err
		}
		// The coordinator may have given the slot to another host while this process
		// did not run.
		grant.Release(allocation.Unused, 0)
		r.Again = true
		r.spend(c.clock.Now().Sub(requestedAt))
	}
}

// acquire requests a slot from one live coordinator after another, and then from the local
// fallback. The times of r are as of requestedAt.
func (c *Client) acquire(ctx context.Context, r SlotRequest, requestedAt time.Time) (*Grant, error) {
	if err := c.cachedQuotaRefusal(r); err != nil {
		return nil, err
	}
	m := c.newMessage(r)
	if r.Resumed && r.Version == nil {
		m.addKnowledge(c.Origins.lookup(r.stream()))
	}
	for _, live := range c.links.LiveHosts() {
		g, err := c.acquireFrom(ctx, live, m)
		if err == nil || !peer.IsBroken(err) {
			return c.newGrant(r, m, live, g, err)
		}
		if ctx.Err() != nil {
			return nil, errkind.Wrap(ctx.Err(), errkind.CancelledBeforeRun, "the caller left while the request waited")
		}
		m.ID, m.Again = c.newID(), true
		m.setTimes(r, c.clock.Now().Sub(requestedAt))
	}
	event.LocalFallback.Log(c.logger, zap.String("request", r.Request), zap.String("service", string(r.Service)))
	if c.Paths != nil {
		c.fallback.RecordHost(c.hostMessage())
	}
	c.useFallback(&m)
	g, err := c.fallback.Acquire(ctx, m)
	return c.newGrant(r, m, links.LiveHost{}, g, err)
}

func (c *Client) newID() allocation.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return c.nextID
}

func (c *Client) newMessage(r SlotRequest) slotRequestMessage {
	route := ""
	if _, active := c.coordinator.rolloutOrder(r.Service); active {
		route = r.Route
	}
	m := slotRequestMessage{
		ID: c.newID(), Request: r.Request, Host: c.self.ID, Domain: c.self.Domain,
		Service: r.Service, Customer: r.Customer, Tier: r.Tier, Urgency: r.Urgency,
		PromptTokens: r.PromptTokens, QuotaTokens: r.QuotaTokens,
		EventGapSLOMS: r.EventGapSLO.Milliseconds(), Avoid: r.Avoid, Fingerprint: r.Fingerprint, Retry: r.Retry,
		Resumable: r.Resumable, Resumed: r.Resumed, FirstAttempt: r.FirstAttempt, Version: r.Version, Relayed: r.Version != nil, Again: r.Again,
		Route:  route,
		Tokens: c.tokenCounts(r),
	}
	m.setTimes(r, 0)
	return m
}

func (c *Client) acquireFrom(ctx context.Context, live links.LiveHost, m slotRequestMessage) (grantMessage, error) {
	c.useCoordinator(live)
	c.address(&m)
	c.tellPaths(live)
	if live.Conn == nil {
		return c.coordinator.Acquire(ctx, m)
	}
	return c.acquireRemote(ctx, live, m)
}

// acquireRemote requests a slot from another host and gives up when that host
// stops sending. The error then wraps peer.ErrBroken.
func (c *Client) acquireRemote(ctx context.Context, live links.LiveHost, m slotRequestMessage) (grantMessage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		grant grantMessage
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var g grantMessage
		err := live.Conn.Call(ctx, methodRequestSlot, m, &g)
		done <- result{g, err}
	}()
	for {
		select {
		case r := <-done:
			if r.err != nil && peer.IsBroken(r.err) {
				// The slot may have been granted, but nothing is sent without the answer.
				c.reportRelease(live.Host.ID, releaseReport{ID: m.ID, Service: m.Service, Outcome: allocation.Unused})
			}
			return r.grant, r.err
		case <-c.clock.After(livenessInterval):
			if !c.links.IsLive(live) {
				cancel()
			}
		}
	}
}

// Run sends the slots held by this host to the coordinator every
// reconcileInterval until ctx ends. While this host is the coordinator, Run
// also passes its target estimates to broadcast every estimatesInterval, which sends
// them to the other hosts.
func (c *Client) Run(ctx context.Context, broadcast func(method string, params any)) {
	var broadcastAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(reconcileInterval):
		}
		coordinator, ok := c.links.FirstLive()
		if !ok {
			continue
		}
		c.reconcileRegularly(coordinator)
		if coordinator.Conn == nil {
			estimates := c.coordinator.Estimates()
			c.setEstimates(estimates)
			if now := c.clock.Now(); !now.Before(broadcastAt) {
				broadcastAt = now.Add(estimatesInterval)
				broadcast(methodEstimates, estimates)
			}
		}
	}
}
