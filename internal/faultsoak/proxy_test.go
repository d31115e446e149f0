package faultsoak

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

func TestFaultSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultsoak")
}

var _ = Describe("Proxy", func() {
	var p *proxy
	// endBackends closes the connections of the backend.
	var endBackends func()
	BeforeEach(func() {
		accepted := make(chan net.Conn, 10)
		endBackends = func() {
			for len(accepted) > 0 {
				_ = (<-accepted).Close()
			}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				accepted <- conn
				go func() { _, _ = io.Copy(conn, conn) }()
			}
		}()
		p, err = newProxy(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.close)
	})
	dial := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", p.address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	echo := func(conn net.Conn) error {
		_, err := conn.Write([]byte("x"))
		if err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}

	It("forwards data in both directions", func() {
		Expect(echo(dial())).To(Succeed())
	})

	It("never forwards data after a gap in it", func() {
		for _, cut := range []func(p *proxy){func(p *proxy) { p.dropToCaller = true }, func(p *proxy) { p.dropToBackend = true }} {
			conn := dial()
			Expect(echo(conn)).To(Succeed())
			p.update(cut)
			Expect(echo(conn)).NotTo(Succeed())
			p.heal()
			Expect(echo(conn)).NotTo(Succeed())
			Expect(echo(dial())).To(Succeed())
		}
	})

	It("never forwards the end of a connection after a gap", func() {
		for _, discard := range []func(){func() { p.update(func(p *proxy) { p.dropToCaller = true }) }, p.silence} {
			conn := dial()
			Expect(echo(conn)).To(Succeed())
			discard()
			Expect(echo(conn)).NotTo(Succeed())
			p.heal()
			endBackends()
			Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
			_, err := conn.Read(make([]byte, 1))
			Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		}
	})

	It("discards data in one direction until it is healed", func() {
		p.update(func(p *proxy) { p.dropToCaller = true })
		Expect(echo(dial())).NotTo(Succeed())
		p.heal()
		Expect(echo(dial())).To(Succeed())
	})

	It("silences open connections permanently but not new ones", func() {
		conn := dial()
		Expect(echo(conn)).To(Succeed())
		p.silence()
		Expect(echo(conn)).NotTo(Succeed())
		Expect(echo(dial())).To(Succeed())
		p.heal()
		Expect(echo(conn)).NotTo(Succeed())
	})

	It("resets open connections", func() {
		conn := dial()
		Expect(echo(conn)).To(Succeed())
		p.reset()
		Expect(echo(conn)).NotTo(Succeed())
	})
})

var _ = Describe("The checks", func() {
	violationOf := func(path string, status, runs int, body string) string {
		c := call{path: path, response: standin.Response{ID: "7", Status: status, Body: body, Complete: true}}
		return c.violation(runs)
	}
	DescribeTable("report violations of guarantees", func(path string, status, runs int, body, violation string) {
		Expect(violationOf(path, status, runs, body)).To(Equal(violation))
	},
		Entry(nil, standin.SubmitPath, http.StatusOK, 1, "answer to 7", ""),
		Entry(nil, standin.SubmitPath, http.StatusOK, 2, "answer to 7", "ran more than once"),
		Entry(nil, standin.NonResumablePath, http.StatusBadGateway, 2, "", "ran more than once"),
		Entry(nil, standin.LookupPath, http.StatusOK, 2, "answer to 7", ""),
		Entry(nil, standin.LookupPath, http.StatusOK, 4, "answer to 7", "ran at too many targets"),
		Entry(nil, standin.SubmitPath, http.StatusServiceUnavailable, 1, "", "reported as not run although it ran"),
		Entry(nil, standin.SubmitPath, http.StatusServiceUnavailable, 0, "", ""),
		Entry(nil, standin.LookupPath, http.StatusNotFound, 0, "", "refused although permitted"),
		Entry(nil, standin.AddedPath, http.StatusNotFound, 0, "", ""),
		Entry(nil, standin.SubmitPath, http.StatusOK, 1, "answer to 8", "unexpected response body"),
		Entry(nil, standin.StreamPath, http.StatusOK, 1, standin.StreamBody(streamEvents-1), "unexpected response body"),
		Entry(nil, standin.StreamPath, http.StatusOK, 2, standin.StreamBody(streamEvents), ""),
		Entry(nil, standin.LookupPath, http.StatusOK, 0, "answer to 7", "complete response without a run"),
	)
})
