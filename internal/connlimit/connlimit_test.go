package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/connlimit"
)

func TestConnLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connlimit")
}

var _ = Describe("Limiter", func() {
	var clock *clockwork.FakeClock
	var timeouts atomic.Pointer[connlimit.Timeouts]
	var limiter *connlimit.Limiter
	var conn net.Conn
	var reader *bufio.Reader
	releaseHandler := make(chan struct{})

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		timeouts.Store(&connlimit.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second})
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-releaseHandler
			}
		})
		server := httptest.NewUnstartedServer(handler)
		limiter = connlimit.New(clock, func() connlimit.Timeouts { return *timeouts.Load() })
		limiter.Attach(server.Config)
		server.Listener = limiter.Listener(server.Listener)
		server.Start()
		DeferCleanup(server.Close)
		var err error
		conn, err = net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		reader = bufio.NewReader(conn)
	})
	send := func(text string) {
		GinkgoHelper()
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}
	readResponse := func() {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
	}
	isOpen := func() bool {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := reader.ReadByte()
		timeout, ok := err.(net.Error)
		return ok && timeout.Timeout()
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	It("closes an idle connection at its timeout and not before", func() {
		send(request)
		readResponse()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		clock.Advance(14 * time.Second)
		Expect(isOpen()).To(BeTrue())
		clock.Advance(2 * time.Second)
		Expect(isOpen()).To(BeFalse())
	})

	It("closes a connection whose header takes too long", func() {
		send("GET / HTTP/1.1\r\n")
		Eventually(isOpen).Should(BeTrue())
		clock.Advance(4 * time.Second)
		Expect(isOpen()).To(BeFalse())
	})

	It("keeps a connection while its request is served", func() {
		send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(isOpen()).To(BeTrue())
		clock.Advance(time.Minute)
		releaseHandler <- struct{}{}
		readResponse()
	})

	It("applies a changed timeout with the next request", func() {
		send(request)
		readResponse()
		timeouts.Store(&connlimit.Timeouts{Header: 3 * time.Second, Idle: time.Minute})
		send(request)
		readResponse()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		clock.Advance(20 * time.Second)
		Expect(isOpen()).To(BeTrue())
	})

	It("applies a raised timeout to a connection that waits already", func() {
		send(request)
		readResponse()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		clock.Advance(10 * time.Second)
		timeouts.Store(&connlimit.Timeouts{Header: 3 * time.Second, Idle: 40 * time.Second})
		clock.Advance(5 * time.Second)
		Expect(isOpen()).To(BeTrue())
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed(), "armed for the rest")
		clock.Advance(24 * time.Second)
		Expect(isOpen()).To(BeTrue())
		clock.Advance(2 * time.Second)
		Expect(isOpen()).To(BeFalse())
	})

	It("keeps a connection that waits already if the timeout is dropped", func() {
		send(request)
		readResponse()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		timeouts.Store(&connlimit.Timeouts{})
		clock.Advance(16 * time.Second)
		Expect(isOpen()).To(BeTrue())
	})

	It("applies a raised time limit to a header of which a part has been read", func() {
		send("GET / HT")
		Eventually(limiter.Reading).Should(Equal(1))
		timeouts.Store(&connlimit.Timeouts{Header: 10 * time.Second})
		clock.Advance(4 * time.Second)
		Expect(isOpen()).To(BeTrue())
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		clock.Advance(7 * time.Second)
		Expect(isOpen()).To(BeFalse())
	})

	It("does not close a connection of which a part of a header has been read, nor cut off its request", func() {
		send(request)
		readResponse()
		send("GET / HT")
		Eventually(limiter.Reading).Should(Equal(1))
		Expect(limiter.CloseIdle()).To(Equal(1))
		limiter.Drain()
		clock.Advance(2 * time.Second)
		send("TP/1.1\r\nHost: h\r\n\r\n")
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue(), "the server announces the close")
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(limiter.CloseIdle).Should(BeZero())
	})

	It("limits the time for each further header from its first byte", func() {
		send(request)
		readResponse()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
		clock.Advance(14 * time.Second)
		send("GET / HT")
		Eventually(limiter.Reading).Should(Equal(1))
		Expect(limiter.CloseIdle()).To(Equal(1))
		clock.Advance(2 * time.Second)
		Expect(isOpen()).To(BeTrue())
		clock.Advance(2 * time.Second)
		Expect(isOpen()).To(BeFalse())
	})

	It("closes idle connections when the server stops", func() {
		send(request)
		readResponse()
		Eventually(limiter.CloseIdle).Should(BeZero())
		Expect(isOpen()).To(BeFalse())
	})
})
