package peer_test

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// slowGreeter is a peer that answers a Hello once release is closed, and refuses
// every other message.
type slowGreeter struct {
	methods chan string
	release chan struct{}
}

func (s slowGreeter) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.methods <- req.Method
	if req.Method != peer.MethodHello {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "before the Hello"})
		return
	}
	<-s.release
	_ = conn.Reply(ctx, req.ID, struct{}{})
}

var _ = Describe("A new connection to a peer that does not run for a while", func() {
	It("is not given up because a ping overtook the greeting", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		greeter := slowGreeter{methods: make(chan string, 8), release: make(chan struct{})}
		go func() {
			socket, err := l.Accept()
			if err == nil {
				jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{}), jsonrpc2.AsyncHandler(greeter))
			}
		}()
		clock := clockwork.NewFakeClock()
		p := peer.NewPool(ctx, peer.Hello{Host: "a", Key: key}, peer.NewMux(), clock)
		errs := make(chan error, 1)
		go func() {
			_, err := p.Get(ctx, l.Addr().String())
			errs <- err
		}()
		Eventually(greeter.methods, "10s").Should(Receive(Equal(peer.MethodHello)))
		Expect(clock.BlockUntilContext(ctx, 2)).To(Succeed())
		for range 2 {
			clock.Advance(700 * time.Millisecond)
			Consistently(greeter.methods).ShouldNot(Receive())
		}
		close(greeter.release)
		Eventually(errs, "10s").Should(Receive(Succeed()))
	})
})
