package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

const methodPing = "peer.ping"

// Liveness bounds of a connection.
const (
	// pingAfter is the silence after which a busy connection is probed.
	pingAfter = 1 * time.Second
	// probeFirst is the time from the first use of an idle connection to its
	// first probe.
	probeFirst = 500 * time.Millisecond
	// confirmEvery is the time between probes of a busy connection that is not
	// silent.
	confirmEvery = 2 * time.Second
	// pingTimeout is how long a probe may stay unanswered.
	pingTimeout = 2 * time.Second
	// writeTimeout bounds one write to the socket.
	writeTimeout = 5 * time.Second
	// idleAfter closes a connection that carried nothing for this long.
	idleAfter = 60 * time.Second
)

// Conn is one connection to a peer.
type Conn struct {
	rpc       *jsonrpc2.Conn
	clock     clockwork.Clock
	mux       *Mux
	key       string
	greeted   atomic.Bool
	peer      atomic.Pointer[Hello]
	lastHeard atomic.Int64
	// confirmed is when the latest ping that was answered was sent, in Unix
	// nanoseconds; zero before the first.
	confirmed atomic.Int64
	busy      atomic.Int64
	// used delivers when an idle connection becomes busy.
	used   chan struct{}
	outbox *outbox
	// ready is closed once rpc is set; its reader starts before that.
	ready chan struct{}
}

// newConn starts a connection on socket. A connection that was accepted
// serves no method before a Hello with the right key.
func newConn(ctx context.Context, socket net.Conn, mux *Mux, key string, clock clockwork.Clock, greeted bool) *Conn {
	c := &Conn{clock: clock, mux: mux, key: key, outbox: newOutbox(), ready: make(chan struct{}), used: make(chan struct{}, 1)}
	c.greeted.Store(greeted)
	c.lastHeard.Store(clock.Now().UnixNano())
	stream := jsonrpc2.NewBufferedStream(&deadlineSocket{socket}, jsonrpc2.VarintObjectCodec{})
	c.rpc = jsonrpc2.NewConn(ctx, stream, c, jsonrpc2.OnRecv(c.heard), jsonrpc2.SetLogger(silentLogger{}))
	close(c.ready)
	go c.watch(ctx)
	go c.drain(ctx)
	return c
}

// Post queues a notification without blocking. Notifications keep their
// order. A peer that is too slow loses the connection and can attach again.
func (c *Conn) Post(method string, params any) {
	if !c.outbox.put(posted{method, params}) {
		_ = c.rpc.Close()
	}
}

func (c *Conn) drain(ctx context.Context) {
	for {
		select {
		case <-c.Done():
			return
		case <-c.outbox.filled:
		}
		for _, p := range c.outbox.take() {
			if err := c.Notify(ctx, p.method, p.params); err != nil {
				_ = c.rpc.Close()
				return
			}
		}
	}
}

// Peer returns the Hello of the other side, or the zero value before it.
func (c *Conn) Peer() Hello {
	if h := c.peer.Load(); h != nil {
		return *h
	}
	return Hello{}
}

// LastHeard returns when the last message of the peer arrived.
func (c *Conn) LastHeard() time.Time { return time.Unix(0, c.lastHeard.Load()) }

// Done is closed when the connection is gone.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Open reports whether the connection is not known to be gone.
func (c *Conn) Open() bool {
	select {
	case <-c.Done():
		return false
	default:
		return true
	}
}

// Close drops the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

// Hold marks the connection as busy until the returned function is called, so
// that silence on it is probed.
func (c *Conn) Hold() (release func()) {
	if c.busy.Add(1) == 1 {
		select {
		case c.used <- struct{}{}:
		default:
		}
	}
	var once atomic.Bool
	return func() {
		if once.CompareAndSwap(false, true) {
			c.busy.Add(-1)
		}
	}
}

// Call sends a message and waits for its answer. Errors have the kind that the
// peer gave, or wrap ErrBroken.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	defer c.Hold()()
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return fromWire(method, err)
	}
	return nil
}

// Notify sends a message without an answer. Errors wrap ErrBroken.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s: %w: %w", method, ErrBroken, err)
	}
	return nil
}

// Handle serves one message of the peer. It implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-c.ready
	if req.Notif {
		_, _ = c.serve(ctx, req)
		return
	}
	go c.answer(ctx, req)
}

func (c *Conn) answer(ctx context.Context, req *jsonrpc2.Request) {
	result, err := c.serve(ctx, req)
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	if err := c.rpc.Reply(ctx, req.ID, result); err != nil {
		_ = c.rpc.Close()
	}
}

func (c *Conn) serve(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if req.Method == MethodHello {
		return c.greet(ctx, req)
	}
	if !c.greeted.Load() {
		return nil, errkind.New(errkind.Unauthenticated, fmt.Sprintf("%s before %s", req.Method, MethodHello))
	}
	return c.mux.dispatch(ctx, c, req.Method, req.Params)
}

func (c *Conn) greet(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	once := NewMux()
	Handle(once, MethodHello, func(_ context.Context, _ *Conn, h Hello) (struct{}, error) {
		if subtle.ConstantTimeCompare([]byte(h.Key), []byte(c.key)) != 1 {
			return struct{}{}, errkind.New(errkind.Unauthenticated, fmt.Sprintf("peer key of host %q does not match", h.Host))
		}
		h.Key = ""
		c.peer.Store(&h)
		c.greeted.Store(true)
		return struct{}{}, nil
	})
	return once.dispatch(ctx, c, MethodHello, req.Params)
}

func (c *Conn) heard(*jsonrpc2.Request, *jsonrpc2.Response) {
	c.lastHeard.Store(c.clock.Now().UnixNano())
}

// watch probes a busy connection that has gone silent and closes it when the
// probe is not answered, because an open socket proves nothing. An idle one is
// looked at only to close it.
func (c *Conn) watch(ctx context.Context) {
	timer := c.clock.NewTimer(probeFirst)
	defer timer.Stop()
	next := c.clock.Now().Add(probeFirst)
	for {
		select {
		case <-ctx.Done():
			_ = c.rpc.Close()
			return
		case <-c.Done():
			return
		case <-c.used:
			// Use brings a probe forward and never puts it off, or calls that
			// give up early would keep a silent connection.
			if first := c.clock.Now().Add(probeFirst); first.Before(next) {
				next = first
				timer.Reset(probeFirst)
			}
		case <-timer.Chan():
			c.probe(ctx)
			wait := c.untilProbe()
			next = c.clock.Now().Add(wait)
			timer.Reset(wait)
		}
	}
}

func (c *Conn) untilProbe() time.Duration {
	if c.busy.Load() > 0 {
		return pingAfter
	}
	return max(pingAfter, idleAfter-c.clock.Now().Sub(c.LastHeard()))
}

func (c *Conn) probe(ctx context.Context) {
	now := c.clock.Now()
	silent := now.Sub(c.LastHeard())
	if c.busy.Load() == 0 {
		if silent > idleAfter {
			_ = c.rpc.Close()
		}
		return
	}
	if silent < pingAfter && now.Sub(c.Confirmed()) < confirmEvery {
		return
	}
	if err := c.Confirm(ctx); err != nil {
		_ = c.rpc.Close()
	}
}

// Confirm asks the peer for a sign of life. Errors wrap ErrBroken.
func (c *Conn) Confirm(ctx context.Context) error {
	sent := c.clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, pingTimeout)
	defer cancel()
	if err := c.rpc.Call(ctx, methodPing, struct{}{}, nil); err != nil {
		return fmt.Errorf("ping: %w: %w", ErrBroken, err)
	}
	for {
		old := c.confirmed.Load()
		if old >= sent.UnixNano() || c.confirmed.CompareAndSwap(old, sent.UnixNano()) {
			return nil
		}
	}
}

// Confirmed returns when the latest ping that the peer answered was sent. The
// peer lived at some time after it, however late the answer was read.
func (c *Conn) Confirmed() time.Time { return time.Unix(0, c.confirmed.Load()) }

// deadlineSocket bounds every write, so that a full socket buffer of a silent
// peer cannot block the writer for ever.
type deadlineSocket struct {
	net.Conn
}

// Write writes p within writeTimeout.
func (s *deadlineSocket) Write(p []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

type silentLogger struct{}

// Printf drops the library's own log lines; failures reach callers as errors.
func (silentLogger) Printf(string, ...any) {}

// IsNotSent reports whether err proves that the peer never got the message.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// IsBroken reports whether the peer may have acted on the message.
func IsBroken(err error) bool { return errors.Is(err, ErrBroken) }
