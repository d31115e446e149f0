package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/connlimit"
)

// hookedConn calls one function once before it begins a read, and another once after it
// has read bytes and before it returns them.
type hookedConn struct {
	net.Conn
	beforeRead, afterRead *atomic.Pointer[func()]
	// ended receives a value when the connection is closed or may not be read any more.
	ended chan struct{}
}

func (c hookedConn) Read(p []byte) (int, error) {
	if f := c.beforeRead.Swap(nil); f != nil {
		(*f)()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if f := c.afterRead.Swap(nil); f != nil {
			(*f)()
		}
	}
	return n, err
}

func (c hookedConn) end() {
	select {
	case c.ended <- struct{}{}:
	default:
	}
}

func (c hookedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		defer c.end()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c hookedConn) Close() error {
	defer c.end()
	return c.Conn.Close()
}

type hookedListener struct {
	net.Listener
	hooked hookedConn
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.hooked.Conn = conn
	return l.hooked, nil
}

var _ = Describe("A connection that is idle", func() {
	var clock *clockwork.FakeClock
	var limiter *connlimit.Limiter
	var conn net.Conn
	var hooked hookedConn
	var onIdle atomic.Pointer[func()]
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		hooked = hookedConn{beforeRead: &atomic.Pointer[func()]{}, afterRead: &atomic.Pointer[func()]{}, ended: make(chan struct{}, 1)}
		onIdle.Store(nil)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		limiter = connlimit.New(clock, func() connlimit.Timeouts {
			return connlimit.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}
		})
		limiter.Attach(server.Config)
		limited := server.Config.ConnState
		server.Config.ConnState = func(c net.Conn, state http.ConnState) {
			limited(c, state)
			if f := onIdle.Load(); f != nil && state == http.StateIdle {
				(*f)()
			}
		}
		server.Listener = limiter.Listener(hookedListener{server.Listener, hooked})
		server.Start()
		DeferCleanup(server.Close)
		var err error
		conn, err = net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
	})
	send := func() {
		GinkgoHelper()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	}
	// receive returns whether the next response announces the end of the connection.
	receive := func() (closes bool, err error) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false, err
		}
		return resp.Close, resp.Body.Close()
	}
	// request sends a request and returns the error of its response.
	request := func() error {
		GinkgoHelper()
		send()
		_, err := receive()
		return err
	}
	// holdNextRead holds up the read that follows the next response, as in a busy or paused
	// process, until resume is called. The read has come that far when held is closed.
	holdNextRead := func() (held chan struct{}, resume func()) {
		held, resumed := make(chan struct{}), make(chan struct{})
		hold := func() {
			close(held)
			<-resumed
		}
		arm := func() { hooked.beforeRead.Store(&hold) }
		onIdle.Store(&arm)
		return held, func() {
			onIdle.Store(nil)
			close(resumed)
		}
	}
	drainEnded := func() {
		for len(hooked.ended) > 0 {
			<-hooked.ended
		}
	}

	It("never drops a request whose bytes were read at the moment of a stop", func() {
		Expect(request()).To(Succeed())
		stop := func() { limiter.CloseIdle() }
		hooked.afterRead.Store(&stop)
		Expect(request()).To(Succeed())
		Eventually(limiter.CloseIdle).Should(BeZero())
	})

	It("never drops a request whose bytes were read at the end of the idle time", func() {
		Expect(request()).To(Succeed())
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		drainEnded()
		expire := func() {
			clock.Advance(16 * time.Second)
			<-hooked.ended
		}
		hooked.afterRead.Store(&expire)
		Expect(request()).To(Succeed())
		Expect(request()).To(Succeed(), "the connection goes on")
	})

	It("never drops a first request whose bytes were read at the moment of a stop", func() {
		stop := func() { limiter.CloseIdle() }
		hooked.afterRead.Store(&stop)
		Expect(request()).To(Succeed())
	})

	It("still has a time limit for its first header if the limit ended when its first byte was read", func() {
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		expire := func() {
			clock.Advance(4 * time.Second)
			<-hooked.ended
		}
		hooked.afterRead.Store(&expire)
		_, err := io.WriteString(conn, "GET / HT")
		Expect(err).NotTo(HaveOccurred())
		Eventually(limiter.Reading).Should(Equal(1))
		clock.Advance(4 * time.Second)
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("is closed by a stop also if the server sets its read deadline afterwards", func() {
		closeIdle := func() { limiter.CloseIdle() }
		onIdle.Store(&closeIdle)
		Expect(request()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("answers a request that arrived before a stop and was not read yet", func() {
		held, resume := holdNextRead()
		Expect(request()).To(Succeed())
		<-held
		send()
		limiter.Drain()
		limiter.CloseIdle()
		resume()
		closes, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(closes).To(BeTrue(), "the server announces the close")
		Eventually(limiter.CloseIdle).Should(BeZero())
	})

	It("answers a request that arrived before the end of the idle time and was not read yet", func() {
		held, resume := holdNextRead()
		Expect(request()).To(Succeed())
		<-held
		send()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		drainEnded()
		clock.Advance(16 * time.Second)
		<-hooked.ended
		resume()
		Expect(receive()).To(BeFalse())
		Expect(request()).To(Succeed(), "the connection goes on")
	})

	It("is closed soon by a stop if nothing has arrived when it is read", func() {
		held, resume := holdNextRead()
		Expect(request()).To(Succeed())
		<-held
		limiter.CloseIdle()
		resume()
		Eventually(limiter.CloseIdle, time.Second).Should(BeZero())
		_, err := receive()
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})
