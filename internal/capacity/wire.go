package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Parameters of the measurements of peer connections.
const (
	wireCalls       = 2000
	wireChunks      = 50_000
	wireConnections = 64
	wireDials       = 200
	wireTimeout     = time.Minute
	wireKey         = "key of the capacity measurement"
)

// loopbackLink is a peer server on loopback and a connection pool for it. It counts the
// bytes of the connections.
type loopbackLink struct {
	address string
	pool    *peer.Pool
	// bytes counts the bytes in both directions.
	bytes *atomic.Int64
	// chunks counts the chunks that the client has received.
	chunks atomic.Int64
	cancel context.CancelFunc
}

// openLink serves heartbeats and streams of chunks on loopback. It opens no connection.
func openLink(s Size) (*loopbackLink, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loopbackLink{bytes: new(atomic.Int64), cancel: cancel}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, fmt.Errorf("listen: %w", err)
	}
	counted := &countingListener{Listener: listener, bytes: l.bytes}
	clock := clockwork.NewRealClock()
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodHeartbeat, func(context.Context, *peer.Conn, peer.Heartbeat) (peer.Heartbeat, error) {
		return s.heartbeat(), nil
	})
	peer.Handle(mux, peer.MethodAttach, func(ctx context.Context, c *peer.Conn, a peer.Attach) (struct{}, error) {
		return struct{}{}, streamChunks(ctx, c, a)
	})
	go func() { _ = peer.Serve(ctx, counted, mux, wireKey, clock) }()
	clientMux := peer.NewMux()
	peer.Handle(clientMux, peer.NotifyChunk, func(context.Context, *peer.Conn, peer.Chunk) (struct{}, error) {
		l.chunks.Add(1)
		return struct{}{}, nil
	})
	l.address = listener.Addr().String()
	l.pool = peer.NewPool(ctx, peer.Hello{Host: "entry-001", Role: "gate", Key: wireKey}, clientMux, clock)
	return l, nil
}

// streamChunks sends wireChunks chunks of one token.
func streamChunks(ctx context.Context, c *peer.Conn, a peer.Attach) error {
	for i := range wireChunks {
		chunk := peer.Chunk{ID: a.ID, Chunk: target.Chunk{Offset: i, Text: " word", Tokens: 1}}
		if err := c.Notify(ctx, peer.NotifyChunk, chunk); err != nil {
			return err
		}
	}
	return nil
}

// measureWireSlopes measures peer connections and messages over loopback. Both ends are
// in this process, so the processor times are those of both ends.
func measureWireSlopes(s Size) ([]Slope, error) {
	l, err := openLink(s)
	if err != nil {
		return nil, err
	}
	defer l.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	heartbeat, err := l.measure(wireCalls, func() error { return l.callHeartbeats(ctx, s) })
	if err != nil {
		return nil, err
	}
	dial, err := l.measure(wireDials, func() error { return l.redial(ctx) })
	if err != nil {
		return nil, err
	}
	chunk, err := l.measure(wireChunks, func() error { return l.receiveChunks(ctx) })
	if err != nil {
		return nil, err
	}
	memory, err := connectionMemory(s)
	if err != nil {
		return nil, err
	}
	return []Slope{
		{"wire.heartbeat_bytes", heartbeat.bytes, Bytes, "heartbeat with its answer, both ways", "2000 calls over loopback"},
		{"wire.heartbeat_time", heartbeat.seconds, Seconds, "heartbeat with its answer, both ends", "processor time of 2000 calls over loopback"},
		{"wire.dial_bytes", dial.bytes, Bytes, "new connection, both ways", "200 connections over loopback, their greeting"},
		{"wire.dial_time", dial.seconds, Seconds, "new connection, both ends", "processor time of 200 connections over loopback"},
		{"wire.chunk_bytes", chunk.bytes, Bytes, "chunk of one token", "50000 notifications over loopback"},
		{"wire.chunk_time", chunk.seconds, Seconds, "chunk of one token, both ends", "processor time of 50000 notifications over loopback"},
		{"wire.connection_memory", memory, Bytes, "connection, one end", "heap and stacks of 64 idle connections, halved"},
	}, nil
}

// messageCost is the cost of one message: bytes in both directions and processor time in
// seconds.
type messageCost struct{ bytes, seconds float64 }

// measure returns the cost per message of run, which sends the given number of messages.
func (l *loopbackLink) measure(messages int, run func() error) (messageCost, error) {
	bytesBefore := l.bytes.Load()
	before, err := processorTime()
	if err != nil {
		return messageCost{}, err
	}
	if err := run(); err != nil {
		return messageCost{}, err
	}
	after, err := processorTime()
	if err != nil {
		return messageCost{}, err
	}
	return messageCost{
		bytes:   float64(l.bytes.Load()-bytesBefore) / float64(messages),
		seconds: (after - before).Seconds() / float64(messages),
	}, nil
}

func (l *loopbackLink) callHeartbeats(ctx context.Context, s Size) error {
	own := s.heartbeat()
	for range wireCalls {
		var resp peer.Heartbeat
		if err := l.pool.Call(ctx, l.address, peer.MethodHeartbeat, own, &resp); err != nil {
			return fmt.Errorf("heartbeat: %w", err)
		}
	}
	return nil
}

// redial closes the connection and opens a new one, wireDials times.
func (l *loopbackLink) redial(ctx context.Context) error {
	for range wireDials {
		if _, err := l.pool.Redial(ctx, l.address); err != nil {
			return fmt.Errorf("dial: %w", err)
		}
	}
	return nil
}

// receiveChunks requests a stream and waits until all its chunks have arrived.
func (l *loopbackLink) receiveChunks(ctx context.Context) error {
	request := requestOf(1, time.Unix(1_800_000_000, 0))
	if err := l.pool.Call(ctx, l.address, peer.MethodAttach, peer.Attach{ID: request}, nil); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	for l.chunks.Load() < wireChunks {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d chunks arrived: %w", l.chunks.Load(), wireChunks, ctx.Err())
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// connectionMemory returns the memory of one end of an idle connection, in bytes.
func connectionMemory(s Size) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	links := make([]*loopbackLink, 0, wireConnections)
	defer func() {
		for _, l := range links {
			l.cancel()
		}
	}()
	var openErr error
	idle := memoryOf(func() any {
		for range wireConnections {
			l, err := openLink(s)
			if err != nil {
				openErr = err
				return nil
			}
			links = append(links, l)
		}
		return links
	})
	connected := memoryOf(func() any {
		for _, l := range links {
			if _, err := l.pool.Get(ctx, l.address); err != nil {
				openErr = err
			}
		}
		return links
	})
	if openErr != nil {
		return 0, fmt.Errorf("connections: %w", openErr)
	}
	_ = idle
	return connected / wireConnections / 2, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

// countingConn counts the bytes that it receives and sends.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the received bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

var _ io.ReadWriter = (*countingConn)(nil)
