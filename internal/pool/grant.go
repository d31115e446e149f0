package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Grant is a slot at a target. The holder reports the first byte and must
// release the slot. It is not safe for concurrent use.
type Grant struct {
	Target tables.TargetID
	// ExpectedFirstByte is the expected time from the grant to the first byte.
	ExpectedFirstByte time.Duration
	// Version is the software version of the target; nil if the coordinator did not
	// tell it.
	Version *tables.SoftwareVersion
	// Through names hosts that are likely to reach the target, the best first, while hosts
	// have lost their paths.
	Through []tables.HostID
	client  *Client
	id      allocation.ID
	service tables.ServiceID
	// coordinator is the local coordinator or fallback that granted the slot;
	// nil if another host did.
	coordinator   *Coordinator
	coordinatorID tables.HostID
	released      bool
	// sender is the host that sent the request; empty if this host did.
	sender tables.HostID
	// stream is the stream for which the slot is; zero if it is not resumable.
	stream origin.StreamID
	// customer and counted are what was added to the client's usage.
	customer tables.CustomerID
	counted  tokenUse
	rollout  exposedGrant
	// events is the number of events that the target has sent.
	events int
}

func (c *Client) newGrant(r SlotRequest, m slotRequestMessage, live links.LiveHost, g grantMessage, err error) (*Grant, error) {
	if err != nil {
		c.cacheQuotaRefusal(r, err)
		return nil, err
	}
	grant := &Grant{Target: g.Target, ExpectedFirstByte: fromMS(float64(g.ExpectedMS)), client: c, id: m.ID, service: m.Service, coordinatorID: live.Host.ID, Version: g.Version, Through: g.Through, stream: m.stream()}
	switch live.Host.ID {
	case "":
		grant.coordinator = c.fallback
	case c.self.ID:
		grant.coordinator = c.coordinator
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[m.ID] = openGrant{ID: m.ID, Service: m.Service, Target: g.Target, Customer: r.Customer, Tier: r.Tier, Tokens: m.Tokens, grantedAt: c.clock.Now()}
	grant.customer, grant.counted = r.Customer, tokenUse{c.clock.Now(), r.QuotaTokens, g.Grantor}
	c.use.granted(grant.counted.at, live.Host.ID, g)
	c.use.usage.add(r.Customer, grant.counted)
	c.countGrant(grant)
	return grant, nil
}

// SentBy records that another host has sent the request; empty means this host.
func (g *Grant) SentBy(host tables.HostID) { g.sender = host }

// ReportFirstByte reports the time from sending the request to the first byte.
func (g *Grant) ReportFirstByte(took time.Duration) {
	g.countFirstByte(took)
	g.recordOrigin()
	r := firstByteReport{ID: g.id, TookMS: toMS(took), Sender: g.sender}
	if g.coordinator != nil {
		g.coordinator.Report(reportMessage{FirstBytes: []firstByteReport{r}})
		return
	}
	g.client.reportFirstByte(g.coordinatorID, r)
}

// recordOrigin records the version that began the stream, and tells a later coordinator of it as long
// as the stream lasts.
func (g *Grant) recordOrigin() {
	if g.Version == nil || g.stream == 0 {
		return
	}
	c := g.client
	c.Origins.learn(g.stream, *g.Version)
	c.mu.Lock()
	defer c.mu.Unlock()
	open, held := c.open[g.id]
	if !held {
		return
	}
	open.Stream, open.Version = g.stream, g.Version
	c.open[g.id] = open
}

// ContradictOrigin records that the stream may have begun at another version than that of the grant.
// Nobody goes on with it then.
func (g *Grant) ContradictOrigin(version tables.SoftwareVersion) {
	g.client.Origins.begin(g.stream, version, "")
}

// Release releases the slot and reports the outcome of the request. meanGap is
// the mean event gap, or zero if unknown. Only the first call has an effect.
func (g *Grant) Release(outcome allocation.Outcome, meanGap time.Duration) {
	if g.released {
		return
	}
	g.released = true
	c := g.client
	if outcome == allocation.Failed {
		g.countBad()
	}
	c.mu.Lock()
	c.slotTimes.add(c.clock.Now(), c.open[g.id])
	delete(c.open, g.id)
	if !outcome.Sent() {
		c.use.usage.remove(g.customer, g.counted)
		g.uncountGrant()
	}
	c.mu.Unlock()
	if outcome == allocation.Succeeded {
		c.Origins.end(g.stream)
	}
	r := releaseReport{ID: g.id, Service: g.service, Outcome: outcome, MeanEventGapMS: toMS(meanGap), Sender: g.sender, Events: c.eventCount(g, outcome)}
	if g.coordinator != nil {
		g.coordinator.Report(reportMessage{Releases: []releaseReport{r}})
		return
	}
	c.reportRelease(g.coordinatorID, r)
}

func (c *Client) reportRelease(coordinatorID tables.HostID, r releaseReport) {
	c.batch(coordinatorID, func(m *reportMessage) { m.Releases = append(m.Releases, r) })
}

func (c *Client) reportFirstByte(coordinatorID tables.HostID, r firstByteReport) {
	c.batch(coordinatorID, func(m *reportMessage) { m.FirstBytes = append(m.FirstBytes, r) })
}

// batch adds an entry to the pending report for a coordinator and schedules its
// sending.
func (c *Client) batch(coordinatorID tables.HostID, add func(*reportMessage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.outbox[coordinatorID]
	if m == nil {
		m = &reportMessage{}
		c.outbox[coordinatorID] = m
		c.clock.AfterFunc(reportDelay, func() { c.flush(coordinatorID) })
	}
	add(m)
}

// flush sends the pending report. If there is no connection, the report is
// dropped; the next reconcile message still frees the released slots.
func (c *Client) flush(coordinatorID tables.HostID) {
	c.mu.Lock()
	m := c.outbox[coordinatorID]
	delete(c.outbox, coordinatorID)
	c.mu.Unlock()
	if conn := c.links.Conn(coordinatorID); conn != nil && m != nil {
		conn.NotifyAsync(methodReport, *m)
	}
}
