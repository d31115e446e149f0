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

type word struct{ Text string }

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
		peer.Handle(mux, "echo", func(_ context.Context, c *peer.Conn, w word) (word, error) {
			return word{w.Text + " from " + string(c.Peer().Host)}, nil
		})
		peer.Handle(mux, "refuse", func(context.Context, *peer.Conn, word) (word, error) {
			return word{}, errkind.New(errkind.Overloaded, "queue full")
		})
	})
	It("carries a call and its answer", func() {
		var out word
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "echo", word{"hi"}, &out)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Text).To(Equal("hi from a"))
	})
	It("carries the kind of an error", func() {
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "refuse", word{}, nil)
		Expect(errkind.Of(err)).To(Equal(errkind.Overloaded))
	})
	It("refuses a wrong key and proves that nothing was sent", func() {
		err := pool(ctx, "other", peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "echo", word{}, nil)
		Expect(peer.IsNotSent(err)).To(BeTrue())
	})
	It("proves that a refused dial sent nothing", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		err = pool(ctx, key, peer.NewMux()).Call(ctx, address, "echo", word{}, nil)
		Expect(peer.IsNotSent(err)).To(BeTrue())
	})
	It("tells a broken connection apart from an answer", func() {
		peer.Handle(mux, "hang up", func(_ context.Context, c *peer.Conn, _ word) (word, error) {
			return word{}, c.Close()
		})
		err := pool(ctx, key, peer.NewMux()).Call(ctx, serve(ctx, mux, clockwork.NewRealClock()), "hang up", word{}, nil)
		Expect(peer.IsBroken(err)).To(BeTrue())
	})
	It("closes a busy connection whose peer answers no probe", func() {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		relay := newRelay(l, serve(ctx, mux, clockwork.NewRealClock()))
		p := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock)
		conn, err := p.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Hold()()
		relay.freeze()
		Eventually(func() <-chan struct{} {
			clock.Advance(pingStep)
			return conn.Done()
		}).Should(BeClosed())
		relay.thaw()
		again, err := p.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).NotTo(BeIdenticalTo(conn))
	})
	It("closes a silent connection on which every call gives up before a probe", func() {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		relay := newRelay(l, serve(ctx, mux, clockwork.NewRealClock()))
		conn, err := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock).Get(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		relay.freeze()
		begun := clock.Now()
		release := conn.Hold()
		Eventually(func() <-chan struct{} {
			release()
			release = conn.Hold()
			clock.Advance(callStep)
			return conn.Done()
		}).Should(BeClosed())
		Expect(clock.Since(begun)).To(BeNumerically("<", idleTime/2))
	})
	It("takes a new connection when an idle one has gone silent", func() {
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
		answered := make(chan string)
		go func() {
			defer GinkgoRecover()
			var out word
			Expect(p.Call(ctx, l.Addr().String(), "echo", word{"hi"}, &out)).To(Succeed())
			answered <- out.Text
		}()
		Eventually(func() <-chan struct{} {
			clock.Advance(callStep)
			return idle.Done()
		}).Should(BeClosed())
		Eventually(answered).Should(Receive(Equal("hi from a")))
	})
	It("closes an idle connection after a minute and not before", func() {
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
	// A message can arrive while the connection is still being set up; it once
	// met a connection that could not answer yet.
	It("answers messages that arrive at once on many new connections", func() {
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
