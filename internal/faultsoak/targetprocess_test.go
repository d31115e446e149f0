package faultsoak

import (
	"context"
	"maps"
	"net"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

var _ = Describe("A target process", func() {
	var t *target
	BeforeEach(func() {
		var err error
		t, err = newTarget(standin.NewTarget("m-0", standin.ModelService, "zone-1", streamEvents, streamEventGap), 0, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { t.proxy.close(); t.Close() })
		Expect(t.addStreamEnds(true)).To(Succeed())
		DeferCleanup(func() { t.process.end(syscall.SIGKILL) })
		t.Hold(streamEvents / 2)
	})
	send := func() <-chan standin.Response {
		done := make(chan standin.Response, 1)
		go func() {
			header := standin.HeaderForTarget("m-0")
			done <- standin.Call{Method: http.MethodPost, Path: standin.StreamPath, Header: header}.Do(context.Background(), t.process.listenAddress())
		}()
		return done
	}
	sent := func() int {
		runs := t.Runs()
		if len(runs) == 0 {
			return 0
		}
		return runs[len(runs)-1].LastSent
	}

	DescribeTable("ends connections without a reset and refuses further ones", func(sig syscall.Signal) {
		done := send()
		Eventually(sent).Should(Equal(streamEvents / 2))
		Expect(t.process.end(sig)).To(BeTrue())
		var response standin.Response
		Eventually(done).Should(Receive(&response))
		Expect(response.Complete).To(BeTrue(), "the end of an answer without framing")
		Expect(standin.StreamBody(streamEvents)).To(HavePrefix(response.Body))
		Expect(len(response.Body)).To(BeNumerically("<", len(standin.StreamBody(streamEvents))))
		_, err := net.Dial("tcp", t.process.listenAddress())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(t.process.end(sig)).To(BeFalse())
	},
		Entry(nil, syscall.SIGKILL),
		Entry(nil, syscall.SIGTERM),
	)

	It("ends when its target crashes on a part, and starts again", func() {
		c := &cluster{}
		c.crashOnPart(t)
		header := standin.HeaderForTarget("m-0")
		maps.Copy(header, standin.HeaderWithParts(crashPart+":10,1:1"))
		response := standin.Call{Method: http.MethodPost, Path: standin.StreamPath, Header: header}.Do(context.Background(), t.process.listenAddress())
		Expect(response.Body).To(BeEmpty())
		_, err := net.Dial("tcp", t.process.listenAddress())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Eventually(func() error {
			conn, err := net.Dial("tcp", t.process.listenAddress())
			if err == nil {
				_ = conn.Close()
			}
			return err
		}).Should(Succeed())
	})

	It("starts again at its former address", func() {
		address := t.process.listenAddress()
		Expect(t.entry("ready")).To(HaveKeyWithValue("address", address))
		t.process.end(syscall.SIGKILL)
		t.Release()
		Expect(t.process.start()).To(Succeed())
		Expect(t.process.listenAddress()).To(Equal(address))
		Expect((<-send()).Body).To(Equal(standin.StreamBody(streamEvents)))
	})
})
