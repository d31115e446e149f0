package faultsoak

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// TestMain lets the test program run as the process of a target.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == TargetProcessCommand {
		if err := ServeTargetProcess(os.Args[2], os.Args[3]); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

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
	DescribeTable("accept an incomplete response only if it is the beginning of the body", func(path string, received int, body string, accepted bool) {
		c := call{path: path, received: received, response: standin.Response{ID: "7", Status: http.StatusOK, Body: body}}
		Expect(c.violation(1) == "").To(Equal(accepted), c.violation(1))
	},
		Entry(nil, standin.StreamPath, 0, "", true),
		Entry(nil, standin.NonResumablePath, 0, standin.StreamBody(3)+"id: 4\nda", true),
		Entry("a gap", standin.StreamPath, 0, event(1)+event(3), false),
		Entry("a repeat", standin.NonResumablePath, 0, event(1)+event(1), false),
		Entry("an event cut in its middle", standin.StreamPath, 0, event(1)+"id: 2\nda"+event(2), false),
		Entry("taken up after event 3", standin.StreamPath, 3, event(4)+event(5), true),
		Entry("taken up after event 3, begun anew", standin.StreamPath, 3, event(1), false),
		Entry("taken up after event 3, with a gap", standin.StreamPath, 3, event(5), false),
		Entry(nil, standin.SubmitPath, 0, "answ", true),
		Entry("another answer", standin.SubmitPath, 0, "answer to 8", false),
	)
	DescribeTable("report a stream that goes on although it may not be resumed", func(path string, received, runs int, body string, accepted bool) {
		c := call{path: path, received: received, response: standin.Response{ID: "7", Status: http.StatusOK, Body: body}}
		Expect(c.violation(runs) == "").To(Equal(accepted), c.violation(runs))
	},
		Entry(nil, standin.NonResumablePath, 0, 1, event(1), true),
		Entry(nil, standin.NonResumablePath, 3, 0, "", true),
		Entry("the pieces of a second run", standin.NonResumablePath, 3, 1, event(4), false),
		Entry("a run without pieces", standin.NonResumablePath, 3, 1, "", false),
		Entry(nil, standin.StreamPath, 3, 1, event(4), true),
	)
	DescribeTable("follow the events of a stream over its attempts", func(accepted bool, bodies ...string) {
		s := &standin.Stream{}
		for _, body := range bodies {
			s.Attempts = append(s.Attempts, standin.Response{Status: http.StatusOK, Body: body})
		}
		Expect(checkStreams([]*standin.Stream{s})).To(HaveLen(map[bool]int{true: 0, false: 1}[accepted]))
	},
		Entry(nil, true, event(1)+event(2)+"id: 3", event(3)),
		Entry(nil, true, "", event(1), "", event(2)),
		Entry("a gap", false, event(1), event(3)),
		Entry("a repeat", false, event(1)+event(2), event(2)),
		Entry("a number that goes back", false, event(1)+event(2), event(1)),
	)
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

func event(n int) string {
	return strings.TrimPrefix(standin.StreamBody(n), standin.StreamBody(n-1))
}
