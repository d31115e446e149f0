package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Grant is a place at a target. Its holder reports the first byte and the end.
type Grant struct {
	Target   tables.TargetID
	Expected time.Duration
	client   *Client
	id       place.ID
	service  tables.ServiceID
	// home decides in this process; it is nil when host is another one.
	home  *Home
	host  tables.HostID
	ended bool
}

func (c *Client) finish(w Wish, m askMessage, live links.Live, g grantMessage, err error) (*Grant, error) {
	if err != nil {
		c.noteLimit(w, err)
		return nil, err
	}
	grant := &Grant{Target: g.Target, Expected: fromMS(float64(g.ExpectedMS)), client: c, id: m.ID, service: m.Service, host: live.Host.ID}
	switch live.Host.ID {
	case "":
		grant.home = c.alone
	case c.self.ID:
		grant.home = c.own
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[m.ID] = openGrant{ID: m.ID, Service: m.Service, Target: g.Target, Customer: w.Customer}
	c.tokens.add(c.clock.Now(), w.Customer, w.Tokens)
	return grant, nil
}

// First reports the time from the send to the first byte.
func (g *Grant) First(took time.Duration) {
	r := firstReport{ID: g.id, TookMS: toMS(took)}
	if g.home != nil {
		g.home.Report(reportMessage{Firsts: []firstReport{r}})
		return
	}
	g.client.reportFirst(g.host, r)
}

// End frees the place. pause is the mean pause between events, zero when
// unknown. Further calls do nothing.
func (g *Grant) End(outcome place.Outcome, pause time.Duration) {
	if g.ended {
		return
	}
	g.ended = true
	c := g.client
	c.mu.Lock()
	delete(c.open, g.id)
	c.mu.Unlock()
	r := endReport{ID: g.id, Service: g.service, Outcome: outcome, PauseMS: toMS(pause)}
	if g.home != nil {
		g.home.Report(reportMessage{Ends: []endReport{r}})
		return
	}
	c.report(g.host, r)
}

func (c *Client) report(home tables.HostID, r endReport) {
	c.batch(home, func(m *reportMessage) { m.Ends = append(m.Ends, r) })
}

func (c *Client) reportFirst(home tables.HostID, r firstReport) {
	c.batch(home, func(m *reportMessage) { m.Firsts = append(m.Firsts, r) })
}

// batch adds to the next report to a home, which goes out soon.
func (c *Client) batch(home tables.HostID, add func(*reportMessage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.outbox[home]
	if m == nil {
		m = &reportMessage{}
		c.outbox[home] = m
		c.clock.AfterFunc(reportEvery, func() { c.flush(home) })
	}
	add(m)
}

// flush sends a report. One that finds no connection is dropped: the next list
// of open places tells the home as much.
func (c *Client) flush(home tables.HostID) {
	c.mu.Lock()
	m := c.outbox[home]
	delete(c.outbox, home)
	c.mu.Unlock()
	if conn := c.links.Conn(home); conn != nil && m != nil {
		conn.Post(methodReport, *m)
	}
}
