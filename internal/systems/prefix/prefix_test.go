package prefix_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
)

func TestPrefix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefix")
}

func newPrompt(head, tail byte, headTokens, tailTokens int) []byte {
	out := make([]byte, 4*(headTokens+tailTokens))
	for i := range out {
		out[i] = tail
		if i < 4*headTokens {
			out[i] = head
		}
	}
	return out
}

var _ = Describe("Chain", func() {
	It("returns a hash per complete block that covers the prompt up to its end", func() {
		a := prefix.Chain("model", newPrompt('a', 'x', 256, 128))
		b := prefix.Chain("model", newPrompt('a', 'y', 256, 130))
		Expect(a).To(HaveLen(24))
		Expect(b).To(HaveLen(24))
		Expect(a[:16]).To(Equal(b[:16]))
		Expect(a[16:]).NotTo(ContainElement(BeElementOf(b[16:])))
		Expect(prefix.Chain("other", newPrompt('a', 'x', 256, 128))[0]).NotTo(Equal(a[0]))
	})
})

var _ = Describe("Index", func() {
	var index *prefix.Index
	a := prefix.Chain("", newPrompt('a', 'x', 256, 128))
	b := prefix.Chain("", newPrompt('a', 'y', 256, 128))

	BeforeEach(func() { index = prefix.NewIndex() })

	It("matches the common prefix of two prompts on the target that has it cached", func() {
		index.RecordStored("t1", a)
		Expect(index.Match("t1", a)).To(Equal(384))
		Expect(index.Match("t1", b)).To(Equal(256))
		Expect(index.Match("t2", a)).To(BeZero())
	})
	It("forgets evicted blocks, and all blocks of a target on Forget", func() {
		index.RecordStored("t1", a)
		index.RecordEvicted("t1", a[16:])
		Expect(index.Match("t1", a)).To(Equal(256))
		index.Forget("t1")
		Expect(index.Match("t1", a)).To(BeZero())
	})
	It("lowers the confidence after lost cache events and raises it after a matching observation", func() {
		index.RecordStored("t1", a)
		index.RecordLostEvents("t1")
		after := index.Match("t1", a)
		Expect(after).To(BeNumerically("<", 384))
		Expect(after).To(BeNumerically(">", 0))
		index.UpdateConfidence("t1", 384, 384)
		Expect(index.Match("t1", a)).To(BeNumerically(">", after))
	})
	It("evicts the least recently used prompt when the cache is full", func() {
		index = prefix.NewIndexWithCacheTokens(384)
		index.RecordStored("t1", a)
		index.RecordStored("t1", prefix.Chain("", newPrompt('z', 'z', 256, 128)))
		Expect(index.Match("t1", a)).To(BeZero())
	})
	It("reports shared prefixes until they are evicted", func() {
		index.RecordStored("t1", a)
		index.RecordStoredShared("t1", a[15])
		Expect(prefix.MatchShared(b, index.SharedHashes("t1"))).To(Equal(256))
		index.RecordEvicted("t1", []uint64{a[15]})
		Expect(prefix.MatchShared(b, index.SharedHashes("t1"))).To(BeZero())
	})
})

var _ = Describe("SharedPrefixes", func() {
	It("finds the prefix shared with an earlier prompt", func() {
		s := prefix.NewSharedPrefixes(1000)
		a := prefix.Chain("", newPrompt('a', 'x', 256, 128))
		b := prefix.Chain("", newPrompt('a', 'y', 256, 128))
		hash, tokens := s.Find(a)
		Expect(hash).To(BeZero())
		Expect(tokens).To(BeZero())
		hash, tokens = s.Find(b)
		Expect(hash).To(Equal(a[15]))
		Expect(tokens).To(Equal(256))
	})
})
