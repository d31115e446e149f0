package peer_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

const (
	// readAhead is how many bytes at most a connection reads beyond the length of a
	// message: what its buffer holds, which is far below this.
	readAhead = 64 << 10
	// endlessCap ends also what nobody closes, so that a test ends. It is in bytes.
	endlessCap = 64 << 20
	// announced is the length that an endless message states, in bytes.
	announced = 1 << 40
)

// countedConn counts the bytes that are read from it.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countedListener counts the bytes that are read from its connections.
type countedListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.read}, err
}

// writeEndlessly writes a message that does not end until the peer closes the
// connection. It returns whether the peer has.
func writeEndlessly(conn net.Conn) bool {
	block := []byte(strings.Repeat("x", 16<<10))
	next := append(binary.AppendUvarint(nil, announced), '"')
	for written := 0; written < endlessCap; next = block {
		_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		n, err := conn.Write(next)
		written += n
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

var _ = Describe("A peer that sends a message without end", func() {
	var ctx context.Context
	var mux *peer.Mux
	var read *atomic.Int64
	BeforeEach(func() {
		read = &atomic.Int64{}
		c, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		ctx = c
		mux = peer.NewMux()
		mux.MaxMessageBytes = 1 << 20
		peer.Handle(mux, "echo", func(_ context.Context, _ *peer.Conn, m message) (message, error) { return m, nil })
	})
	dial := func() net.Conn {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, countedListener{listener, read}, mux, key, clockwork.NewRealClock()) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}

	It("is disconnected before it has sent a Hello", func() {
		Expect(writeEndlessly(dial())).To(BeTrue())
		Expect(read.Load()).To(BeNumerically("<=", peer.MaxUnknownPeerBytes+readAhead))
	})

	It("is disconnected after a Hello", func() {
		conn := dial()
		hello, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 1, "method": peer.MethodHello, "params": peer.Hello{Host: "a", Key: key}})
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(append(binary.AppendUvarint(nil, uint64(len(hello))), hello...))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(writeEndlessly(conn)).To(BeTrue())
		Expect(read.Load()).To(BeNumerically("<=", 1<<20+readAhead))
	})

	It("is disconnected by the host that has dialled it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		closed := make(chan bool, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			closed <- writeEndlessly(conn)
		}()
		p := pool(ctx, key, peer.NewMux())
		p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, network, address)
			return countedConn{conn, read}, err
		}
		_, err = p.Get(ctx, listener.Addr().String())
		Expect(peer.IsNotSent(err)).To(BeTrue())
		Eventually(closed, 10*time.Second).Should(Receive(BeTrue()))
		Expect(read.Load()).To(BeNumerically("<=", peer.MaxUnknownPeerBytes+readAhead))
	})

	It("is no reason to reject a long message within the limit, right after the Hello", func() {
		address := serve(ctx, mux, clockwork.NewRealClock())
		text := strings.Repeat("x", 1<<19)
		for range 5 {
			var out message
			Expect(pool(ctx, key, peer.NewMux()).Call(ctx, address, "echo", message{text}, &out)).To(Succeed())
			Expect(out.Text).To(HaveLen(len(text)))
		}
	})
})
