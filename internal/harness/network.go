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

// partitionDialTimeout is the timeout of a dial between hosts that a partition
// separates, or from a partitioned host to the platform.
const partitionDialTimeout = 1 * time.Second

// network opens the connections from hosts to the platform and to other hosts and
// simulates one network partition. Partitioned hosts reach each other, but neither
// the platform nor the other hosts. Connections to callers and targets are not
// affected. A network is safe for concurrent use.
type network struct {
	mu          sync.Mutex
	partitioned map[tables.HostID]bool
	// listeners maps the peer addresses to their hosts. Other addresses belong to
	// the platform.
	listeners map[string]tables.HostID
	links     map[*link]struct{}
	// suspensions holds the traffic on the connections that a host has opened.
	suspensions map[tables.HostID]*endpoint.Suspension
}

// link is an open connection from a host. An empty to means the platform.
type link struct {
	conn     *endpoint.Conn
	from, to tables.HostID
}

func newNetwork() *network {
	return &network{
		partitioned: make(map[tables.HostID]bool),
		listeners:   make(map[string]tables.HostID),
		links:       make(map[*link]struct{}),
		suspensions: make(map[tables.HostID]*endpoint.Suspension),
	}
}

// addListener records that a host listens at address.
func (n *network) addListener(host tables.HostID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = host
}

// setPartitioned adds hosts to the partition or removes them from it. Open
// connections that the partition then separates are silenced permanently: they stay
// silent after the partition ends.
func (n *network) setPartitioned(hosts []tables.HostID, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range hosts {
		n.partitioned[id] = partitioned
	}
	for l := range n.links {
		if n.separated(l.from, l.to) {
			l.conn.Silence()
		}
	}
}

// separated reports whether the partition separates two hosts. The empty ID is the
// platform. The caller holds n.mu.
func (n *network) separated(a, b tables.HostID) bool { return n.partitioned[a] != n.partitioned[b] }

// dial returns a dial function for connections from a host.
func (n *network) dial(from tables.HostID) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.blocked(from, address) {
			return nil, awaitDialTimeout(ctx, address)
		}
		var dialer net.Dialer
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(inner, from, address), nil
	}
}

func (n *network) blocked(from tables.HostID, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.separated(from, n.listeners[address])
}

// awaitDialTimeout simulates a dial whose packets are dropped. It blocks for
// partitionDialTimeout, or until ctx ends, and returns an error.
func awaitDialTimeout(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, partitionDialTimeout)
	defer cancel()
	<-ctx.Done()
	return fmt.Errorf("dial %s: %w", address, ctx.Err())
}

func (n *network) track(inner net.Conn, from tables.HostID, address string) net.Conn {
	l := &link{from: from}
	l.conn = endpoint.NewConn(inner, func() { n.untrack(l) })
	l.conn.Suspension = n.suspension(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	l.to = n.listeners[address]
	n.links[l] = struct{}{}
	if n.separated(l.from, l.to) {
		l.conn.Silence()
	}
	return l.conn
}

// suspension returns the suspension of the connections that a host has opened.
func (n *network) suspension(host tables.HostID) *endpoint.Suspension {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.suspensions[host] == nil {
		n.suspensions[host] = &endpoint.Suspension{}
	}
	return n.suspensions[host]
}

func (n *network) untrack(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// client returns an HTTP client that opens its connections from a host.
func (n *network) client(from tables.HostID) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial(from), IdleConnTimeout: idleConnTimeout}}
}

// idleConnTimeout is how long an idle HTTP connection is kept open.
const idleConnTimeout = 30 * time.Second

// Partition adds hosts to a network partition that separates them from the platform and
// from all other hosts. Their processes keep running. Partitioned hosts still reach
// each other, callers and targets.
func (h *Harness) Partition(hosts ...tables.HostID) { h.network.setPartitioned(hosts, true) }

// Heal removes hosts from the network partition. Connections that were open across
// the partition stay silent.
func (h *Harness) Heal(hosts ...tables.HostID) { h.network.setPartitioned(hosts, false) }
