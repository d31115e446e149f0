package members_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	warmUpTime      = 15 * time.Second
	measurementTime = 30 * time.Second
)

// meter counts the bytes on the server side of all connections, and the
// heartbeats and responses.
type meter struct{ bytes, messages atomic.Int64 }

type meteredListener struct {
	net.Listener
	m *meter
}

type meteredConn struct {
	net.Conn
	m *meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.m}, nil
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

// startHost runs the membership tables of a dispatcher and a gate on one host. It
// returns the dispatcher's table.
func startHost(ctx context.Context, list *hostlist.List, m *meter, i int) (*members.Members, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	clock := clockwork.NewRealClock()
	id := fmt.Sprintf("host-%03d", i)
	self := tables.Host{ID: tables.HostID(id), Domain: tables.DomainID(fmt.Sprint("domain-", i%8)), PeerAddress: l.Addr().String(), Listed: tables.HostLive}
	heartbeat := func() peer.Heartbeat {
		hb := peer.Heartbeat{ConfigVersion: 5100, ConfigDigest: 1 << 63}
		for t := range 2 {
			hb.Pool = append(hb.Pool, tables.TargetSummary{Target: tables.TargetID(fmt.Sprintf("engine-%03d", 2*i+t)), Free: 3,
				QueuedByTier: []int{0, 1, 2}, RunningByTier: []int{1, 2, 3}, WaitMillis: 420, Slowdown: 1.1})
		}
		return hb
	}
	process := func(observer bool) *members.Members {
		mux := peer.NewMux()
		pool := peer.NewPool(ctx, peer.Hello{Host: self.ID, Role: "dispatcher", Key: "key"}, mux, clock)
		table := members.New(members.Options{Self: self, Observer: observer, List: list, Caller: pool, Heartbeat: heartbeat})
		peer.Handle(mux, peer.MethodHeartbeat, func(_ context.Context, _ *peer.Conn, hb peer.Heartbeat) (peer.Heartbeat, error) {
			m.messages.Add(2)
			return table.Handle(hb), nil
		})
		if !observer {
			go func() { _ = peer.Serve(ctx, meteredListener{l, m}, mux, "key", clock) }()
		}
		go func() { _ = table.Run(ctx) }()
		return table
	}
	list.PutHost(self)
	process(true)
	return process(false), nil
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeats measures the network traffic, CPU time and memory of the
// membership tables of a dispatcher and a gate on each of n hosts, all in one
// process and connected over loopback TCP.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{13, 50, 100, 200} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureHeartbeats(b, n)
			}
		})
	}
}

// measureHeartbeats measures n hosts and reports each metric per host.
func measureHeartbeats(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(time.Second)
	defer cancel()
	list := hostlist.New(clockwork.NewRealClock(), 0)
	m := &meter{}
	tables := make([]*members.Members, n)
	for i := range n {
		table, err := startHost(ctx, list, m, i)
		if err != nil {
			b.Fatal(err)
		}
		tables[i] = table
	}
	time.Sleep(warmUpTime)
	bytes, messages, cpu := m.bytes.Load(), m.messages.Load(), processorTime()
	time.Sleep(measurementTime)
	seconds, nodes := measurementTime.Seconds(), float64(n)
	b.ReportMetric(float64(m.bytes.Load()-bytes)/seconds/nodes, "B/s/node")
	b.ReportMetric(float64(m.messages.Load()-messages)/seconds/nodes, "msg/s/node")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/seconds/nodes, "%core/node")
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapInuse+stats.StackInuse)/nodes/1024, "KiB/node")
	for i, table := range tables {
		if live := len(table.Live()); live != n {
			b.Fatalf("host %d sees %d live hosts of %d", i, live, n)
		}
	}
}
