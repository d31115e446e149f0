package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// serveBytes answers each call with the same bytes, ends the connection with a FIN and returns
// the address.
func serveBytes(answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			answerOnce(conn, answer)
		}
	}()
	return l.Addr().String()
}

func answerOnce(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// The connection would be reset if a part of the body was unread. Errors mean that the
	// caller has closed it.
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, answer)
}

var _ = Describe("An answer of a target that is cut by the end of its connection", func() {
	const unframed = "HTTP/1.1 200 OK\r\n\r\n"
	var ctx context.Context
	BeforeEach(func() {
		limited, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		ctx = limited
	})

	It("is not the result of an operation", func() {
		const body = "1234"
		framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		for _, head := range []string{unframed, framed} {
			for length := range len(body) {
				got, err := target.NewPlainClient(serveBytes(head+body[:length]), "s").Call(ctx, target.Call{ID: "h.x", Operation: "o"})
				Expect(err).To(MatchError(target.ErrUnknown), "cut after %d bytes: %+v", length, got)
			}
		}
		got, err := target.NewPlainClient(serveBytes(framed+body), "s").Call(ctx, target.Call{ID: "h.x", Operation: "o"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got.Body)).To(Equal(body))
	})

	It("is not the end of a stream before its final event", func() {
		begun := `data: {"id":"h.x","choices":[{"text":"a","finish_reason":null}],"offset":0,"tokens":1}` + "\n\n"
		final := `data: {"id":"h.x","choices":[{"text":"b","finish_reason":"stop"}],"offset":1,"tokens":1}` + "\n\n"
		whole := begun + final + "data: [DONE]\n\n"
		complete := len(strings.TrimSpace(begun + final))
		for length := range len(whole) {
			text, err := readStream(ctx, serveBytes(unframed+whole[:length]))
			if length < complete {
				Expect(err).To(MatchError(target.ErrUnknown), "cut after %d bytes: %q", length, text)
			} else {
				Expect(text).To(Equal("ab"), "cut after %d bytes", length)
			}
		}
		text, err := readStream(ctx, serveBytes(unframed+whole))
		Expect(err).To(MatchError(io.EOF))
		Expect(text).To(Equal("ab"))
	})
})

// readStream returns the text of a generation and the error with which its stream ends.
func readStream(ctx context.Context, address string) (string, error) {
	stream, err := target.NewEngineClient(address).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for {
		c, err := stream.Next(ctx)
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.Text)
	}
}
