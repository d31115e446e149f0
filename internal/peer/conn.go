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

// Timing of liveness probes and timeouts of a connection.
const (
	// probeAfterSilence is how long a connection in use may receive nothing before it
	// is probed.
	probeAfterSilence = 1 * time.Second
	// firstProbeDelay is the time from the start of a connection or of its use to the
	// first probe.
	firstProbeDelay = 500 * time.Millisecond
	// probeInterval is the time between probes of a connection in use that receives
	// messages.
	probeInterval = 2 * time.Second
	// pingTimeout is the time limit for the reply to a ping.
	pingTimeout = 2 * time.Second
	// writeTimeout is the time limit for one write to the socket.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection that receives nothing stays open.
	idleTimeout = 60 * time.Second
)

// Conn is a connection to a peer. It is safe for concurrent use.
type Conn struct {
	rpc       *jsonrpc2.Conn
	clock     clockwork.Clock
	mux       *Mux
	sharedKey string
	// dialed is the address that was dialed; empty if the peer has opened the connection.
	dialed        string
	authenticated atomic.Bool
	// introduced is true once the peer has sent a valid Hello or has answered one.
	introduced   atomic.Bool
	peer         atomic.Pointer[Hello]
	lastReceived atomic.Int64
	// lastAnsweredPing is when the latest answered ping was sent, in Unix nanoseconds.
	// It is zero before the first one.
	lastAnsweredPing atomic.Int64
	// useCount is the number of uses of the connection that have not ended.
	useCount atomic.Int64
	// useStarted receives a value when useCount rises from zero.
	useStarted chan struct{}
	outbox     *outbox
	// ready is closed once rpc is set. Messages may be handled before that, because
	// jsonrpc2.NewConn starts reading before it returns.
	ready chan struct{}
}

// newConn starts a connection on socket. One that the peer has opened serves no other method
// before a Hello with the right key. One that was dialed, for which dialed is the address, serves
// none before the response to its Hello if the mux admits only some peers.
func newConn(ctx context.Context, socket net.Conn, mux *Mux, key string, clock clockwork.Clock, dialed string) *Conn {
	c := &Conn{clock: clock, mux: mux, sharedKey: key, dialed: dialed, outbox: newOutbox(), ready: make(chan struct{}), useStarted: make(chan struct{}, 1)}
	c.authenticated.Store(dialed != "" && mux.Admit == nil)
	c.lastReceived.Store(clock.Now().UnixNano())
	stream := jsonrpc2.NewBufferedStream(&deadlineSocket{socket}, boundedCodec{limit: c.maxMessageBytes})
	c.rpc = jsonrpc2.NewConn(ctx, stream, c, jsonrpc2.OnRecv(c.onReceive), jsonrpc2.SetLogger(silentLogger{}))
	close(c.ready)
	go c.monitor(ctx)
	go c.sendQueued(ctx)
	return c
}

// NotifyAsync queues a notification without blocking. Notifications are sent in order.
// If the queue is full because the peer is too slow, the connection is closed.
func (c *Conn) NotifyAsync(method string, params any) {
	if !c.outbox.put(notification{method, params}) {
		_ = c.rpc.Close()
	}
}

func (c *Conn) sendQueued(ctx context.Context) {
	for {
		select {
		case <-c.Done():
			return
		case <-c.outbox.available:
		}
		for _, n := range c.outbox.take() {
			if err := c.Notify(ctx, n.method, n.params); err != nil {
				_ = c.rpc.Close()
				return
			}
		}
	}
}

// Peer returns the Hello that the peer sent, without its key, or the zero value if
// the peer has sent none.
func (c *Conn) Peer() Hello {
	if h := c.peer.Load(); h != nil {
		return *h
	}
	return Hello{}
}

// LastReceived returns when the last message from the peer arrived, or when the
// connection started if none has.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastReceived.Load()) }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Open returns false once the connection is known to be closed.
func (c *Conn) Open() bool {
	select {
	case <-c.Done():
		return false
	default:
		return true
	}
}

// Close closes the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

// MarkInUse marks the connection as in use until release is called. A connection in use
// is probed regularly. Calling release again has no effect.
func (c *Conn) MarkInUse() (release func()) {
	if c.useCount.Add(1) == 1 {
		select {
		case c.useStarted <- struct{}{}:
		default:
		}
	}
	var released atomic.Bool
	return func() {
		if released.CompareAndSwap(false, true) {
			c.useCount.Add(-1)
		}
	}
}

// Call sends a request and waits for the response. Errors have the kind that the peer
// returned, or wrap ErrBroken.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	defer c.MarkInUse()()
	if err := c.checkAdmitted(); err != nil {
		return fmt.Errorf("%s: %w: %w", method, ErrBroken, err)
	}
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return decodeError(method, err)
	}
	if err := c.checkAdmitted(); err != nil {
		return fmt.Errorf("%s: %w: %w", method, ErrBroken, err)
	}
	return nil
}

// greet sends the Hello and waits for the reply. It does not mark the connection as in
// use, because the peer would refuse a probe that overtakes the Hello.
func (c *Conn) greet(ctx context.Context, hello Hello) error {
	var reply Hello
	if err := c.rpc.Call(ctx, MethodHello, hello, &reply); err != nil {
		return decodeError(MethodHello, err)
	}
	return c.admit(reply)
}

// Regreet exchanges greetings again, since the peer may have learned its identity. Errors are those of
// Call.
func (c *Conn) Regreet(ctx context.Context) error {
	if c.mux.Greeting == nil {
		return nil
	}
	hello := c.mux.Greeting()
	hello.Key = c.sharedKey
	return c.greet(ctx, hello)
}

// admit records the greeting of the peer and lets it speak, unless it must not be spoken to.
func (c *Conn) admit(hello Hello) error {
	hello.Key = ""
	if c.mux.Admit != nil {
		if err := c.mux.Admit(hello, c.dialed); err != nil {
			return err
		}
	}
	c.peer.Store(&hello)
	c.authenticated.Store(true)
	c.introduced.Store(true)
	return nil
}

// checkAdmitted returns an error, and closes the connection, if the peer must no longer be
// spoken to. This process may have learned its identity after the greeting.
func (c *Conn) checkAdmitted() error {
	peer := c.peer.Load()
	if c.mux.Admit == nil || peer == nil || peer.Fleet == "" && peer.Store == "" {
		return nil
	}
	err := c.mux.Admit(*peer, c.dialed)
	if err != nil {
		_ = c.rpc.Close()
	}
	return err
}

// Notify sends a notification, which has no response. Errors wrap ErrBroken.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s: %w: %w", method, ErrBroken, err)
	}
	return nil
}

// Handle serves one message from the peer: notifications synchronously, requests in a
// goroutine of their own. It implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-c.ready
	if req.Notif {
		_, _ = c.serve(ctx, req)
		return
	}
	go c.reply(ctx, req)
}

func (c *Conn) reply(ctx context.Context, req *jsonrpc2.Request) {
	result, err := c.serve(ctx, req)
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	if err := c.rpc.Reply(ctx, req.ID, result); err != nil {
		_ = c.rpc.Close()
	}
}

func (c *Conn) serve(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if req.Method == MethodHello {
		return c.handleHello(ctx, req)
	}
	if !c.authenticated.Load() {
		return nil, errkind.New(errkind.Unauthenticated, fmt.Sprintf("%s before %s", req.Method, MethodHello))
	}
	if err := c.checkAdmitted(); err != nil {
		return nil, errkind.New(errkind.Unauthenticated, fmt.Sprintf("%s: %v", req.Method, err))
	}
	return c.mux.dispatch(ctx, c, req.Method, req.Params)
}

func (c *Conn) handleHello(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	mux := NewMux()
	Handle(mux, MethodHello, func(_ context.Context, _ *Conn, h Hello) (any, error) {
		if subtle.ConstantTimeCompare([]byte(h.Key), []byte(c.sharedKey)) != 1 {
			return nil, errkind.New(errkind.Unauthenticated, fmt.Sprintf("peer key of host %q does not match", h.Host))
		}
		if err := c.admit(h); err != nil {
			return nil, errkind.New(errkind.Unauthenticated, fmt.Sprintf("host %q: %v", h.Host, err))
		}
		if c.mux.Greeting == nil {
			return struct{}{}, nil
		}
		return c.mux.Greeting(), nil
	})
	return mux.dispatch(ctx, c, MethodHello, req.Params)
}

// onReceive is called by the goroutine that reads, before it reads the next message.
func (c *Conn) onReceive(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	c.lastReceived.Store(c.clock.Now().UnixNano())
	if resp != nil && resp.Error == nil && c.authenticated.Load() {
		c.introduced.Store(true)
	}
}

// maxMessageBytes returns the size limit of the next message.
func (c *Conn) maxMessageBytes() uint64 {
	switch {
	case !c.introduced.Load():
		return MaxUnknownPeerBytes
	case c.mux.MaxMessageBytes > 0:
		return c.mux.MaxMessageBytes
	default:
		return defaultMaxMessageBytes
	}
}

// monitor probes a connection in use and closes it if a probe fails, because an open
// socket does not prove that the peer is alive. It closes an unused connection that
// has received nothing for idleTimeout.
func (c *Conn) monitor(ctx context.Context) {
	timer := c.clock.NewTimer(firstProbeDelay)
	defer timer.Stop()
	next := c.clock.Now().Add(firstProbeDelay)
	for {
		select {
		case <-ctx.Done():
			_ = c.rpc.Close()
			return
		case <-c.Done():
			return
		case <-c.useStarted:
			// The start of a use moves the next probe only to an earlier time. If it
			// delayed the probe, frequent calls with short timeouts would keep a dead
			// connection open.
			if early := c.clock.Now().Add(firstProbeDelay); early.Before(next) {
				next = early
				timer.Reset(firstProbeDelay)
			}
		case <-timer.Chan():
			c.probe(ctx)
			wait := c.probeDelay()
			next = c.clock.Now().Add(wait)
			timer.Reset(wait)
		}
	}
}

// probeDelay returns the time until the next call of probe.
func (c *Conn) probeDelay() time.Duration {
	if c.useCount.Load() > 0 {
		return probeAfterSilence
	}
	return max(probeAfterSilence, idleTimeout-c.clock.Now().Sub(c.LastReceived()))
}

func (c *Conn) probe(ctx context.Context) {
	now := c.clock.Now()
	silence := now.Sub(c.LastReceived())
	if c.useCount.Load() == 0 {
		if silence > idleTimeout {
			_ = c.rpc.Close()
		}
		return
	}
	if silence < probeAfterSilence && now.Sub(c.LastAnsweredPing()) < probeInterval {
		return
	}
	if err := c.Ping(ctx); err != nil {
		_ = c.rpc.Close()
	}
}

// Ping sends a ping and waits up to pingTimeout for the reply. Errors wrap
// ErrBroken.
func (c *Conn) Ping(ctx context.Context) error {
	sent := c.clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, pingTimeout)
	defer cancel()
	if err := c.rpc.Call(ctx, methodPing, struct{}{}, nil); err != nil {
		return fmt.Errorf("ping: %w: %w", ErrBroken, err)
	}
	for {
		old := c.lastAnsweredPing.Load()
		if old >= sent.UnixNano() || c.lastAnsweredPing.CompareAndSwap(old, sent.UnixNano()) {
			return nil
		}
	}
}

// LastAnsweredPing returns when the latest ping that the peer answered was sent, or
// the Unix epoch if there is none. The peer was alive at some time after that,
// regardless of when the reply was read.
func (c *Conn) LastAnsweredPing() time.Time { return time.Unix(0, c.lastAnsweredPing.Load()) }

// deadlineSocket sets a deadline for every write, so that the full socket buffer of an
// unresponsive peer cannot block the writer forever.
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

// Printf discards the log lines of the jsonrpc2 library; failures are returned as errors.
func (silentLogger) Printf(string, ...any) {}

// IsNotSent reports whether err proves that the peer did not receive the message.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// IsBroken reports whether err means that the peer may have acted on the message.
func IsBroken(err error) bool { return errors.Is(err, ErrBroken) }
