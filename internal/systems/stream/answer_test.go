package stream_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stream")
}

// answerText returns the text of tokens a to b of the expected answer.
func answerText(a, b int) string {
	var s strings.Builder
	for i := a; i < b; i++ {
		fmt.Fprintf(&s, "%d ", i)
	}
	return s.String()
}

// randomChunks splits an answer of total tokens, from an offset on, into chunks of
// random sizes.
func randomChunks(t *rapid.T, from, total int) []target.Chunk {
	var out []target.Chunk
	for from < total {
		n := min(rapid.IntRange(1, 4).Draw(t, "tokens"), total-from)
		out = append(out, target.Chunk{Offset: from, Tokens: n, Text: answerText(from, from+n), Final: from+n == total})
		from += n
	}
	return out
}

var _ = Describe("Answer", func() {
	It("matches the target's answer when chunks are split differently, repeated or lost, and after a takeover", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			total := rapid.IntRange(1, 30).Draw(t, "total")
			var a stream.Answer
			for range 4 {
				from := rapid.IntRange(0, a.EndOffset()).Draw(t, "from")
				for _, c := range randomChunks(t, from, total) {
					if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
						a.Add(c)
					}
				}
				if string(a.Text()) != answerText(0, a.EndOffset()) {
					t.Fatalf("the answer of %d tokens is %q", a.EndOffset(), a.Text())
				}
			}
			n := rapid.IntRange(0, a.EndOffset()).Draw(t, "reader")
			rest, ok := a.ChunksAfter(n, answerText(0, n))
			reader := stream.ResumeAt(n, answerText(0, n))
			for _, c := range rest {
				if reader.Add(c) != stream.Appended {
					t.Fatalf("chunk %+v does not follow %d tokens", c, reader.EndOffset())
				}
			}
			if !ok || string(reader.Text()) != string(a.Text()) {
				t.Fatalf("a reader that had %d tokens ended with %q, want %q", n, reader.Text(), a.Text())
			}
			if !reader.Complete([]byte(answerText(0, total)), total) || string(reader.Text()) != answerText(0, total) {
				t.Fatalf("the completed answer is %q", reader.Text())
			}
		})
	})
	It("returns no chunks to a reader with a different text", func() {
		a := stream.ResumeAt(3, "a b c ")
		_, ok := a.ChunksAfter(2, "a x ")
		Expect(ok).To(BeFalse())
		_, ok = a.ChunksAfter(3, "a b x ")
		Expect(ok).To(BeFalse())
		_, ok = a.ChunksAfter(3, "a b ")
		Expect(ok).To(BeFalse())
	})
	It("lacks the chunks before its offset if it has no text for them", func() {
		a := stream.ResumeAt(3, "")
		Expect(a.FromStart()).To(BeFalse())
		_, ok := a.ChunksAfter(0, "")
		Expect(ok).To(BeFalse())
		Expect(a.Add(target.Chunk{Offset: 3, Tokens: 1, Text: "d ", Final: true})).To(Equal(stream.Appended))
		rest, ok := a.ChunksAfter(3, "")
		Expect(ok).To(BeTrue())
		Expect(rest).To(HaveLen(1))
	})
})
