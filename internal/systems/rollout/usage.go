package rollout

import "github.com/bluebellseam/bluebellseam/internal/tables"

// ReportUsage records what a host says of an order. Counts of a host never fall: its
// messages may arrive late, and it starts from zero after a restart.
func (c *Controller) ReportUsage(host tables.HostID, id OrderID, u Usage) {
	if id != c.order.ID || c.phase.Ended() {
		return
	}
	before := c.hosts[host]
	after := larger(before, u)
	c.hosts[host] = after
	c.reported.Requests += after.Requests - before.Requests
	c.reported.Exposed += after.Exposed - before.Exposed
	c.reported.Bad += after.Bad - before.Bad
}

// Usage returns the counts since the order: the larger ones of what this coordinator
// counted or took over, and what the hosts reported.
func (c *Controller) Usage() Usage { return larger(c.used, c.reported) }

// larger returns the larger ones of the counts.
func larger(a, b Usage) Usage {
	return Usage{Requests: max(a.Requests, b.Requests), Exposed: max(a.Exposed, b.Exposed), Bad: max(a.Bad, b.Bad)}
}
