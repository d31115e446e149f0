package peer_test

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const key = "a shared key"

type message struct{ Text string }

func serve(ctx context.Context, mux *peer.Mux, clock clockwork.Clock) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = peer.Serve(ctx, l, mux, key, clock) }()
	return l.Addr().String()
}

func pool(ctx context.Context, k string, mux *peer.Mux) *peer.Pool {
	return peer.NewPool(ctx, peer.Hello{Host: "a", Role: "gate", Key: k}, mux, clockwork.NewRealClock())
}

var _ = Describe("Pool", func() {
	var ctx context.Context
	var mux *peer.Mux
	BeforeEach(func() {
		c, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		ctx = c
		mux = peer.NewMux()
		peer.Handle(mux, "echo", func(_ context.Context, c *peer.Conn, m message) (message, error) {
			return message{m.Text + " from " + string(c.Peer().Host)}, nil
		})
		peer.Handle(mux, "refuse", func(context.Context, *peer.Conn, message) (message, error) {
			return message{}, errkind.New(errkind.Overloaded, "queue full")
		})
	})
	It("returns the response of a call", func() {
		var out message
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "echo", message{"hi"}, &out)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Text).To(Equal("hi from a"))
	})
	It("returns errors with the kind that the peer set", func() {
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "refuse", message{}, nil)
		Expect(errkind.Of(err)).To(Equal(errkind.Overloaded))
	})
	It("returns ErrNotSent if the key is wrong", func() {
		err := pool(ctx, "other", peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "echo", message{}, nil)
		Expect(peer.IsNotSent(err)).To(BeTrue())
	})
	It("returns ErrNotSent if the dial is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		err = pool(ctx, key, peer.NewMux()).Call(ctx, address, "echo", message{}, nil)
		Expect(peer.IsNotSent(err)).To(BeTrue())
	})
	It("returns ErrBroken if the connection closes before the response", func() {
		peer.Handle(mux, "hang up", func(_ context.Context, c *peer.Conn, _ message) (message, error) {
			return message{}, c.Close()
		})
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "hang up", message{}, nil)
		Expect(peer.IsBroken(err)).To(BeTrue())
	})
	It("closes a connection in use whose peer does not answer probes", func() {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		relay := newRelay(l, serve(ctx, mux, clockwork.NewRealClock()))
		p := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock)
		conn, err := p.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.MarkInUse()()
		relay.freeze()
		Eventually(func() <-chan struct{} {
			clock.Advance(pingStep)
			return conn.Done()
		}).Should(BeClosed())
		relay.thaw()
		redialed, err := p.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(redialed).NotTo(BeIdenticalTo(conn))
	})
	It("closes a dead connection even if every call times out before the first probe", func() {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		relay := newRelay(l, serve(ctx, mux, clockwork.NewRealClock()))
		conn, err := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock).Get(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		relay.freeze()
		start := clock.Now()
		release := conn.MarkInUse()
		Eventually(func() <-chan struct{} {
			release()
			release = conn.MarkInUse()
			clock.Advance(callStep)
			return conn.Done()
		}).Should(BeClosed())
		Expect(clock.Since(start)).To(BeNumerically("<", idleTime/2))
	})
	It("dials again if an idle connection no longer answers", func() {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		relay := newRelay(l, serve(ctx, mux, clockwork.NewRealClock()))
		p := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock)
		idle, err := p.Get(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(idleTime / 2)
		Expect(p.Get(ctx, l.Addr().String())).To(BeIdenticalTo(idle))
		relay.silence()
		clock.Advance(pingStep)
		replies := make(chan string)
		go func() {
			defer GinkgoRecover()
			var out message
			Expect(p.Call(ctx, l.Addr().String(), "echo", message{"hi"}, &out)).To(Succeed())
			replies <- out.Text
		}()
		Eventually(func() <-chan struct{} {
			clock.Advance(callStep)
			return idle.Done()
		}).Should(BeClosed())
		Eventually(replies).Should(Receive(Equal("hi from a")))
	})
	It("closes an idle connection after one minute and not earlier", func() {
		clock := clockwork.NewFakeClock()
		conn, err := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock).Get(ctx, serve(ctx, mux, clockwork.NewRealClock()))
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(idleTime - callStep)
		Consistently(conn.Done(), "50ms").ShouldNot(BeClosed())
		Eventually(func() <-chan struct{} {
			clock.Advance(callStep)
			return conn.Done()
		}).Should(BeClosed())
	})
})

var _ = Describe("Conn", func() {
	// A message may arrive while newConn is still running. It must not be handled
	// before the connection can reply.
	It("replies to messages that arrive immediately after the connection is accepted", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		mux := peer.NewMux()
		address := serve(ctx, mux, clockwork.NewRealClock())
		for range 300 {
			p := pool(ctx, key, peer.NewMux())
			conn, err := p.Get(ctx, address)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
	})
})
