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

func prompt(head, tail byte, headTokens, tailTokens int) []byte {
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
	It("has a hash per whole block that covers all before it", func() {
		a := prefix.Chain("model", prompt('a', 'x', 256, 128))
		b := prefix.Chain("model", prompt('a', 'y', 256, 130))
		Expect(a).To(HaveLen(24))
		Expect(b).To(HaveLen(24))
		Expect(a[:16]).To(Equal(b[:16]))
		Expect(a[16:]).NotTo(ContainElement(BeElementOf(b[16:])))
		Expect(prefix.Chain("other", prompt('a', 'x', 256, 128))[0]).NotTo(Equal(a[0]))
	})
})

var _ = Describe("Index", func() {
	var x *prefix.Index
	a := prefix.Chain("", prompt('a', 'x', 256, 128))
	b := prefix.Chain("", prompt('a', 'y', 256, 128))

	BeforeEach(func() { x = prefix.NewIndex() })

	It("matches the common part of two prompts at the target that has it", func() {
		x.Stored("t1", a)
		Expect(x.Match("t1", a)).To(Equal(384))
		Expect(x.Match("t1", b)).To(Equal(256))
		Expect(x.Match("t2", a)).To(BeZero())
	})
	It("forgets evicted blocks and all of a restarted target", func() {
		x.Stored("t1", a)
		x.Evicted("t1", a[16:])
		Expect(x.Match("t1", a)).To(Equal(256))
		x.Forget("t1")
		Expect(x.Match("t1", a)).To(BeZero())
	})
	It("trusts a target less after a gap and more after agreement", func() {
		x.Stored("t1", a)
		x.Gap("t1")
		after := x.Match("t1", a)
		Expect(after).To(BeNumerically("<", 384))
		Expect(after).To(BeNumerically(">", 0))
		x.Observed("t1", 384, 384)
		Expect(x.Match("t1", a)).To(BeNumerically(">", after))
	})
	It("keeps what was used last when the cache is full", func() {
		x = prefix.NewIndexWithCacheTokens(384)
		x.Stored("t1", a)
		x.Stored("t1", prefix.Chain("", prompt('z', 'z', 256, 128)))
		Expect(x.Match("t1", a)).To(BeZero())
	})
	It("names shared parts in summaries until they are evicted", func() {
		x.Stored("t1", a)
		x.RecordStoredShared("t1", a[15])
		Expect(prefix.MatchShared(b, x.SharedHashes("t1"))).To(Equal(256))
		x.Evicted("t1", []uint64{a[15]})
		Expect(prefix.MatchShared(b, x.SharedHashes("t1"))).To(BeZero())
	})
})

var _ = Describe("Shared", func() {
	It("finds the part that an earlier prompt had", func() {
		s := prefix.NewShared(1000)
		a := prefix.Chain("", prompt('a', 'x', 256, 128))
		b := prefix.Chain("", prompt('a', 'y', 256, 128))
		hash, tokens := s.Find(a)
		Expect(hash).To(BeZero())
		Expect(tokens).To(BeZero())
		hash, tokens = s.Find(b)
		Expect(hash).To(Equal(a[15]))
		Expect(tokens).To(Equal(256))
	})
})
