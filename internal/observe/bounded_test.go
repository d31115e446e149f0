package observe_test

import (
	"bytes"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/observe"
)

var _ = Describe("BoundedLog", func() {
	It("does not block its callers when nobody reads, and counts the dropped lines", func() {
		reader, writer := io.Pipe()
		defer func() { _ = reader.Close() }()
		b := observe.NewBoundedLog(writer)
		var dropped int64
		reported := make(chan struct{}, 16)
		b.OnDropped = func(n int64) { dropped += n; reported <- struct{}{} }
		start := time.Now()
		for range 10_000 {
			_, err := b.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		go b.Run()
		defer b.Close()
		Eventually(reported, 3*time.Second).Should(Receive())
		Expect(dropped).To(BeNumerically(">", 8_000))
	})

	It("writes every line of a process below the limits, including lines queued at Close", func() {
		var out bytes.Buffer
		b := observe.NewBoundedLog(&out)
		for range 100 {
			_, err := b.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		b.Close()
		b.Run()
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(100))
	})
})
