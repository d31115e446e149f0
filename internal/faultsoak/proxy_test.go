package faultsoak

import (
	"io"
	"net"
	"net/http"
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
	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		go func() {
			for {
				conn, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(conn, conn) }()
			}
		}()
		p, err = newProxy(echo.Addr().String())
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
	echoes := func(conn net.Conn) error {
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

	It("carries both ways", func() {
		Expect(echoes(dial())).To(Succeed())
	})

	It("cuts one way until it is healed", func() {
		p.harm(func(p *proxy) { p.toCaller = true })
		Expect(echoes(dial())).NotTo(Succeed())
		p.heal()
		Expect(echoes(dial())).To(Succeed())
	})

	It("makes open connections silent for good, and not new ones", func() {
		conn := dial()
		Expect(echoes(conn)).To(Succeed())
		p.silence()
		Expect(echoes(conn)).NotTo(Succeed())
		Expect(echoes(dial())).To(Succeed())
		p.heal()
		Expect(echoes(conn)).NotTo(Succeed())
	})

	It("resets open connections", func() {
		conn := dial()
		Expect(echoes(conn)).To(Succeed())
		p.reset()
		Expect(echoes(conn)).NotTo(Succeed())
	})
})

var _ = Describe("The checks", func() {
	judged := func(path string, status, runs int, body string) string {
		c := call{path: path, answer: standin.Response{ID: "7", Status: status, Body: body, Complete: true}}
		return c.broken(runs)
	}
	DescribeTable("find what breaks a promise", func(path string, status, runs int, body, what string) {
		Expect(judged(path, status, runs, body)).To(Equal(what))
	},
		Entry(nil, standin.SubmitPath, http.StatusOK, 1, "answer to 7", ""),
		Entry(nil, standin.SubmitPath, http.StatusOK, 2, "answer to 7", "ran twice"),
		Entry(nil, standin.NonResumablePath, http.StatusBadGateway, 2, "", "ran twice"),
		Entry(nil, standin.LookupPath, http.StatusOK, 2, "answer to 7", ""),
		Entry(nil, standin.LookupPath, http.StatusOK, 4, "answer to 7", "ran at too many targets"),
		Entry(nil, standin.SubmitPath, http.StatusServiceUnavailable, 1, "", "said not to have run"),
		Entry(nil, standin.SubmitPath, http.StatusServiceUnavailable, 0, "", ""),
		Entry(nil, standin.LookupPath, http.StatusNotFound, 0, "", "refused though allowed"),
		Entry(nil, standin.AddedPath, http.StatusNotFound, 0, "", ""),
		Entry(nil, standin.SubmitPath, http.StatusOK, 1, "answer to 8", "another answer"),
		Entry(nil, standin.StreamPath, http.StatusOK, 1, standin.StreamBody(streamEvents-1), "another answer"),
		Entry(nil, standin.StreamPath, http.StatusOK, 2, standin.StreamBody(streamEvents), ""),
		Entry(nil, standin.LookupPath, http.StatusOK, 0, "answer to 7", "an answer without a run"),
	)
})
