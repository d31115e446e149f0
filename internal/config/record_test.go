package config_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

var _ = Describe("LogRecord", func() {
	snapshot := config.Snapshot{Version: 3, Document: json.RawMessage(`{"a":"` + strings.Repeat("x", 4096) + `"}`)}
	compress := func(text []byte) []byte {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, err := w.Write(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		return b.Bytes()
	}
	It("compresses a snapshot", func() {
		data, err := config.LogRecord{Snapshot: &snapshot}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", len(snapshot.Document)/4))
		decoded, err := config.DecodeRecord(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(*decoded.Snapshot).To(Equal(snapshot))
	})
	It("decodes a snapshot that is not compressed", func() {
		data, err := json.Marshal(config.LogRecord{Snapshot: &snapshot})
		Expect(err).NotTo(HaveOccurred())
		decoded, err := config.DecodeRecord(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(*decoded.Snapshot).To(Equal(snapshot))
	})
	DescribeTable("rejects data that is not a record",
		func(data func() []byte, cause string) {
			_, err := config.DecodeRecord(data())
			Expect(err).To(MatchError(ContainSubstring(cause)))
		},
		Entry("a truncated gzip stream", func() []byte { return compress([]byte(`{"snapshot":{}}`))[:12] }, "decompress configuration record"),
		Entry("the gzip magic number alone", func() []byte { return []byte{0x1f, 0x8b} }, "decompress configuration record"),
		Entry("text that is not JSON", func() []byte { return compress([]byte("x")) }, "decode configuration record"),
		Entry("neither patch nor snapshot", func() []byte { return compress([]byte("{}")) }, "neither exactly"),
		Entry("a snapshot that is too large", func() []byte { return compress(bytes.Repeat([]byte(" "), 64<<20+1)) }, "exceeds"),
	)
})
