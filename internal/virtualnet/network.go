// Package virtualnet provides in-memory connections between hosts for tests in
// virtual time. Each host has a link with a bandwidth and a processor with a share;
// messages wait for both.
package virtualnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// messageCPU and byteCPU are the processor time of one whole core that a message
	// and each of its bytes take at either end.
	messageCPU = 40 * time.Microsecond
	byteCPU    = 15 * time.Nanosecond
)

// errRefused means that nothing listens on an address.
var errRefused = errors.New("connection refused")

// Host describes a host of a network.
type Host struct {
	// Address is where the host accepts connections.
	Address string
	// Domain is the failure domain. Bytes between domains are counted.
	Domain string
	// Cores is the share of a processor core.
	Cores float64
	// BytesPerSecond is the bandwidth of the link in each direction.
	BytesPerSecond float64
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	mu    sync.Mutex
	nodes map[string]*node
	// crossBytes counts the bytes sent between failure domains.
	crossBytes int64
}

// node is the state of one host.
type node struct {
	Host
	listener *listener
	conns    map[*conn]bool
	// cpuFree, sendFree and receiveFree are when the processor and the two
	// directions of the link are free.
	cpuFree, sendFree, receiveFree time.Time
}

// New returns a network in which a message takes latency between any two hosts.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, nodes: make(map[string]*node)}
}

// Add adds a host, or replaces one with the same address.
func (n *Network) Add(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[h.Address] = &node{Host: h, conns: make(map[*conn]bool)}
}

// CrossBytes returns how many bytes were sent between failure domains.
func (n *Network) CrossBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crossBytes
}

// Listen returns a listener for the connections to a host.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accepted: make(chan net.Conn, 4096), closed: make(chan struct{})}
	n.nodes[address].listener = l
	return l
}

// Dialer returns a function that opens connections from a host.
func (n *Network) Dialer(from string) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * n.latency):
		}
		return n.connect(from, address)
	}
}

func (n *Network) connect(from, to string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	client, server := n.nodes[from], n.nodes[to]
	if client == nil || server == nil || server.listener == nil {
		return nil, errRefused
	}
	a, b := newConn(n, client, server), newConn(n, server, client)
	a.other, b.other = b, a
	client.conns[a] = true
	server.conns[b] = true
	server.listener.accepted <- b
	return a, nil
}

// Cut closes all connections of a host, and refuses new ones until the next Listen.
func (n *Network) Cut(address string) {
	n.mu.Lock()
	node := n.nodes[address]
	conns := make([]*conn, 0, len(node.conns))
	for c := range node.conns {
		conns = append(conns, c)
	}
	l := node.listener
	node.listener = nil
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	if l != nil {
		_ = l.Close()
	}
}

// transfer returns when a message that is sent now arrives, and occupies the link
// and the processor of both ends for it.
func (n *Network) transfer(from, to *node, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.Domain != to.Domain {
		n.crossBytes += int64(size)
	}
	cpu := messageCPU + time.Duration(size)*byteCPU
	at := occupy(&from.cpuFree, time.Now(), cpu, from.Cores)
	at = occupy(&from.sendFree, at, time.Duration(size)*time.Second, from.BytesPerSecond)
	at = occupy(&to.receiveFree, at.Add(n.latency), time.Duration(size)*time.Second, to.BytesPerSecond)
	return occupy(&to.cpuFree, at, cpu, to.Cores)
}

// occupy occupies a resource from the time at, or from when it is free, and returns
// the end. work is the time that it takes at speed 1.
func occupy(free *time.Time, at time.Time, work time.Duration, speed float64) time.Time {
	if free.After(at) {
		at = *free
	}
	*free = at.Add(time.Duration(float64(work) / speed))
	return *free
}

// listener accepts the connections to one host.
type listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "virtual" }
func (a address) String() string { return string(a) }
