package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
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
	It("cuts off a header without end", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 2*httpcall.MaxHeaderBytes))
			_, _ = w.Write([]byte("{}"))
		}))
		defer server.Close()
		client := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://"))
		_, err := client.Load(ctx)
		Expect(err).To(MatchError(target.ErrUnknown))
		_, err = client.Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).To(MatchError(target.ErrUnknown))
	})
	It("cuts off a line of a stream without end", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write([]byte(strings.Repeat("x", 16<<10))); err != nil {
					return
				}
			}
		}))
		defer server.Close()
		stream, err := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Next(ctx)
		Expect(err).To(MatchError(bufio.ErrTooLong))
		Expect(err).To(MatchError(target.ErrUnknown))
	})
	DescribeTable("cuts off a stream without end in which no token comes",
		func(line string) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for {
					if _, err := w.Write([]byte(strings.Repeat(line+"\n", 1<<10))); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			stream, err := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = stream.Close() }()
			limited, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			for err == nil {
				_, err = stream.Next(limited)
			}
			Expect(err).To(MatchError(target.ErrUnknown))
			Expect(err).To(MatchError(ContainSubstring("bytes without a token")))
		},
		Entry("but lines that are no events", "no event"),
		Entry("but comments", ": still here"),
		Entry("but empty lines", ""),
		Entry("but events without a token", `data: {"id":"h.x","choices":[{"text":"","finish_reason":null}],"offset":0,"tokens":0}`),
	)
	It("delivers a stream with more bytes between all its events than may be between two", func() {
		filler := []byte(strings.Repeat(": still here\n", 80<<10))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for i, finish := range []string{"null", "null", "null", `"stop"`} {
				_, _ = w.Write(filler)
				_, _ = fmt.Fprintf(w, `data: {"id":"h.x","choices":[{"text":"a","finish_reason":%s}],"offset":%d,"tokens":1}`+"\n\n", finish, i)
			}
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		}))
		defer server.Close()
		stream, err := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		for range 4 {
			_, err = stream.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = stream.Next(ctx)
		Expect(err).To(MatchError(io.EOF))
	})
	It("returns ErrUnknown for a generation whose connection was lost after the send", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		defer server.Close()
		_, err := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, target.Generation{ID: "h.x", Prompt: "p"})
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(err).NotTo(MatchError(target.ErrNotAdmitted))
	})
})
