package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// pathsInterval is the minimum time between two messages about the paths of this host. It
// bounds the bytes while many paths change.
const pathsInterval = 100 * time.Millisecond

// toldPaths is what a coordinator was last told of the paths of this host.
type toldPaths struct {
	coordinator tables.HostID
	version     uint64
	at          time.Time
}

// hostMessage returns what this host says of itself.
func (c *Client) hostMessage() hostMessage {
	return hostMessage{Host: c.self.ID, Domain: c.self.Domain, Cores: c.self.Cores, Paths: c.Paths.PathReport()}
}

// tellPaths tells a coordinator which paths this host has lost, if that has changed since it
// was told.
func (c *Client) tellPaths(live links.LiveHost) {
	if c.Paths == nil || !c.mustTell(live.Host.ID, c.Paths.PathVersion()) {
		return
	}
	m := c.hostMessage()
	if live.Conn == nil {
		c.coordinator.RecordHost(m)
		return
	}
	live.Conn.NotifyAsync(methodHost, m)
}

// mustTell reports whether a coordinator is to be told, and records that it was.
func (c *Client) mustTell(coordinator tables.HostID, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	same := c.told.coordinator == coordinator
	if same && (c.told.version == version || now.Sub(c.told.at) < pathsInterval) {
		return false
	}
	c.told = toldPaths{coordinator, version, now}
	return true
}
