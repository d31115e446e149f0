package endpoint_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoint")
}

var _ = Describe("Endpoint", func() {
	It("refuses connections while it is down and keeps its port reserved", func() {
		e, err := endpoint.Listen("127.0.0.1:0", http.NotFoundHandler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		address := e.Address()
		e.Down()
		for range 200 {
			other, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(other.Close)
			Expect(other.Addr().String()).NotTo(Equal(address))
		}
		_, err = net.Dial("tcp", address)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(e.Up()).To(Succeed())
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		e.Close()
		Expect(e.Up()).To(MatchError(endpoint.ErrClosed))
	})
	It("refuses connections as soon as Down returns", func() {
		for range 300 {
			e, err := endpoint.Listen("127.0.0.1:0", http.NotFoundHandler())
			Expect(err).NotTo(HaveOccurred())
			e.Down()
			_, err = net.Dial("tcp", e.Address())
			Expect(err).To(MatchError(ContainSubstring("refused")))
			e.Close()
		}
	})
	It("refuses an address that is in use", func() {
		e, err := endpoint.Listen("127.0.0.1:0", http.NotFoundHandler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		_, err = endpoint.Listen(e.Address(), http.NotFoundHandler())
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Process", func() {
	It("answers nothing while it is suspended, and then everything that it received", func() {
		clock := clockwork.NewFakeClock()
		p := endpoint.NewProcess(endpoint.ProcessOptions{
			Clock: clock, OnCrash: func() {},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		})
		address, err := p.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		p.Suspend(time.Second)
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := http.Get("http://" + address)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			statuses <- resp.StatusCode
		}()
		Consistently(statuses).ShouldNot(Receive())
		clock.Advance(time.Second)
		Eventually(statuses, "10s").Should(Receive(Equal(http.StatusNoContent)))
	})
})
