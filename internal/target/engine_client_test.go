package target_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var _ = Describe("EngineClient", func() {
	ctx := context.Background()
	closedAddress := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		return l.Addr().String()
	}
	It("returns ErrNotAdmitted for a generation whose connection was refused", func() {
		_, err := target.NewEngineClient(closedAddress()).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).To(MatchError(target.ErrNotAdmitted))
	})
	It("returns ErrUnknown for a query about a dispatch whose connection was refused", func() {
		client := target.NewEngineClient(closedAddress())
		_, err := client.Resume(ctx, "h.x", 0)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(err).NotTo(MatchError(target.ErrNotAdmitted))
		_, err = client.Cancel(ctx, "h.x")
		Expect(err).To(MatchError(target.ErrUnknown))
	})
	It("returns ErrUnknown for a generation whose connection was lost after the send", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		defer server.Close()
		_, err := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(err).NotTo(MatchError(target.ErrNotAdmitted))
	})
})
