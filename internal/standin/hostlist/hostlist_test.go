package hostlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestHostList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host list")
}

var _ = Describe("HostListClient", func() {
	It("transfers the list again only after a change", func() {
		list := hostlist.New(clockwork.NewFakeClock(), 0)
		list.PutHost(tables.Host{ID: "h1", Listed: tables.HostLive})
		var sentBytes, notModified int
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rec := httptest.NewRecorder()
			list.Handler().ServeHTTP(rec, r)
			if rec.Code == http.StatusNotModified {
				notModified++
			}
			sentBytes += rec.Body.Len()
			for name, values := range rec.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(rec.Code)
			_, _ = w.Write(rec.Body.Bytes())
		}))
		defer server.Close()
		client := ports.NewHostListClient(server.URL, nil)
		read := func() ports.Listing {
			l, err := client.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return l
		}
		first := read()
		firstBytes := sentBytes
		Expect(read()).To(Equal(first))
		Expect(notModified).To(Equal(1))
		Expect(sentBytes).To(Equal(firstBytes))
		list.MarkHost("h1", tables.HostLeaving)
		Expect(read().Hosts[0].Listed).To(Equal(tables.HostLeaving))
		Expect(notModified).To(Equal(1))
	})
})
