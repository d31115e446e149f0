package httpcall_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

func TestHTTPCall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpcall")
}

var _ = Describe("WithPermit", func() {
	var arrived atomic.Int64
	var server *httptest.Server
	BeforeEach(func() {
		arrived.Store(0)
		server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
		DeferCleanup(server.Close)
	})
	postBy := func(client *http.Client, permit func() bool) error {
		ctx := httpcall.WithPermit(context.Background(), permit)
		_, err := httpcall.Do(ctx, client, httpcall.Request{Method: http.MethodPost, URL: server.URL, Body: []byte("body")}, 1<<10)
		return err
	}
	post := func(permit func() bool) error { return postBy(httpcall.NewGuarded(time.Second), permit) }
	It("sends the request when permit returns true", func() {
		Expect(post(func() bool { return true })).To(Succeed())
		Expect(arrived.Load()).To(BeEquivalentTo(1))
	})
	It("does not send the request when permit returns false, and reports it as not sent", func() {
		err := post(func() bool { return false })
		var failed *httpcall.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(err).To(MatchError(httpcall.ErrNotPermitted))
		// Close waits for every connection that the server has accepted.
		server.Close()
		Expect(arrived.Load()).To(BeZero())
	})
	It("writes no byte to the connection when permit returns false", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		received := make(chan []byte, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			data, _ := io.ReadAll(conn)
			received <- data
		}()
		ctx := httpcall.WithPermit(context.Background(), func() bool { return false })
		_, err = httpcall.Do(ctx, httpcall.NewGuarded(time.Second), httpcall.Request{
			Method: http.MethodPost, URL: "http://" + l.Addr().String(), Body: []byte("body"),
		}, 1<<10)
		Expect(err).To(MatchError(httpcall.ErrNotPermitted))
		Eventually(received, "10s").Should(Receive(BeEmpty()))
	})
	It("rejects a client that cannot check permits, and reports the request as not sent", func() {
		err := postBy(&http.Client{}, func() bool { return true })
		var failed *httpcall.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(err).To(MatchError(httpcall.ErrUnguarded))
	})
	It("cuts off a header without end, and reports the request as sent", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 2*httpcall.MaxHeaderBytes))
		}))
		DeferCleanup(server.Close)
		for _, client := range []*http.Client{httpcall.NewGuarded(time.Second), httpcall.NewClient()} {
			_, err := httpcall.Do(context.Background(), client, httpcall.Request{Method: http.MethodPost, URL: server.URL}, 1<<10)
			var failed *httpcall.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Sent).To(BeTrue())
		}
	})
	It("reports the request as sent when the connection breaks before the response", func() {
		abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(abortingServer.Close)
		server = abortingServer
		err := post(func() bool { return true })
		var failed *httpcall.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeTrue())
	})
})
