package httpcall_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

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
	post := func(permit func() bool) error {
		ctx := httpcall.WithPermit(context.Background(), permit)
		_, err := httpcall.Do(ctx, &http.Client{}, httpcall.Request{Method: http.MethodPost, URL: server.URL, Body: []byte("body")}, 1<<10)
		return err
	}
	It("sends when the permit holds", func() {
		Expect(post(func() bool { return true })).To(Succeed())
		Expect(arrived.Load()).To(BeEquivalentTo(1))
	})
	It("sends nothing when the permit has lapsed, and proves it", func() {
		err := post(func() bool { return false })
		var failed *httpcall.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(err).To(MatchError(httpcall.ErrNotPermitted))
		Expect(arrived.Load()).To(BeZero())
	})
})
