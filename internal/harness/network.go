package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// cutDialTimeout is how long a connection through a cut is tried.
const cutDialTimeout = 1 * time.Second

// network carries what the processes of hosts send to the platform and to each
// other. Hosts that are cut off reach each other, callers and targets, and
// neither the platform nor other hosts. It is safe for concurrent use.
type network struct {
	mu  sync.Mutex
	cut map[tables.HostID]bool
	// listeners maps the addresses of peers to their hosts.
	listeners map[string]tables.HostID
	links     map[*link]struct{}
}

// link is an open connection of a host.
type link struct {
	conn     *endpoint.Conn
	from, to tables.HostID
}

func newNetwork() *network {
	return &network{
		cut:       make(map[tables.HostID]bool),
		listeners: make(map[string]tables.HostID),
		links:     make(map[*link]struct{}),
	}
}

// listens notes that a host listens at address.
func (n *network) listens(host tables.HostID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = host
}

// setCut cuts hosts off together or ends that. Connections through the cut are
// silent for good from its beginning.
func (n *network) setCut(hosts []tables.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range hosts {
		n.cut[id] = cut
	}
	for l := range n.links {
		if n.parted(l.from, l.to) {
			l.conn.Silence()
		}
	}
}

// parted reports whether a cut lies between two hosts; the empty name is the
// platform. n.mu is held.
func (n *network) parted(a, b tables.HostID) bool { return n.cut[a] != n.cut[b] }

// dial returns a function that opens connections from a host.
func (n *network) dial(from tables.HostID) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.blocked(from, address) {
			return nil, dropped(ctx, address)
		}
		var dialer net.Dialer
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.add(inner, from, address), nil
	}
}

func (n *network) blocked(from tables.HostID, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.parted(from, n.listeners[address])
}

// dropped waits as for an answer that never comes.
func dropped(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, cutDialTimeout)
	defer cancel()
	<-ctx.Done()
	return fmt.Errorf("dial %s: %w", address, ctx.Err())
}

func (n *network) add(inner net.Conn, from tables.HostID, address string) net.Conn {
	l := &link{from: from}
	l.conn = endpoint.NewConn(inner, func() { n.forget(l) })
	n.mu.Lock()
	defer n.mu.Unlock()
	l.to = n.listeners[address]
	n.links[l] = struct{}{}
	if n.parted(l.from, l.to) {
		l.conn.Silence()
	}
	return l.conn
}

func (n *network) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// client returns an HTTP client whose connections come from a host.
func (n *network) client(from tables.HostID) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial(from), IdleConnTimeout: idleConnTimeout}}
}

// idleConnTimeout bounds the life of an unused connection.
const idleConnTimeout = 30 * time.Second

// Cut cuts hosts off from the platform and from all other hosts. Their
// processes live on and reach each other, callers and targets.
func (h *Harness) Cut(hosts ...tables.HostID) { h.network.setCut(hosts, true) }

// Mend ends the cut of hosts.
func (h *Harness) Mend(hosts ...tables.HostID) { h.network.setCut(hosts, false) }
