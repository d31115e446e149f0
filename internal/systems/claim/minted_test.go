package claim_test

import (
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("Authority", func() {
	var (
		now    time.Time
		a      *claim.Authority
		k      claim.MintedKey
		limits = claim.Limits{Window: time.Hour, Skew: 30 * time.Second}
	)
	BeforeEach(func() {
		now = time.Now()
		a = claim.NewAuthority("h.1", 7, limits)
		k = a.Mint(uuid.Must(uuid.NewV7()))
	})
	acquireRequest := func(request string) claim.AcquireRequest {
		return claim.AcquireRequest{Key: claim.Key{Customer: "c", Service: "s", ID: k.ID}, Request: tables.RequestID(request), Fingerprint: 1}
	}
	record := func(request string, kind errkind.Kind) {
		a.Record(now, k, claim.Outcome{Key: acquireRequest(request).Key, Request: tables.RequestID(request), Kind: kind, Status: 200})
	}
	kindOf := func(result claim.Result) errkind.Kind { return errkind.Of(result.Err) }
	It("grants the key to one request, once", func() {
		Expect(a.Acquire(now, k, acquireRequest("r1")).Won).To(BeTrue())
		Expect(a.Acquire(now, k, acquireRequest("r1")).Won).To(BeFalse())
		result := a.Acquire(now, k, acquireRequest("r2"))
		Expect(result.Won).To(BeFalse())
		Expect(result.Holder.Request).To(Equal(tables.RequestID("r1")))
		record("r1", errkind.OutcomeUnknown)
		record("r1", errkind.None)
		record("r1", errkind.NotAdmitted)
		Expect(a.Acquire(now, k, acquireRequest("r2")).Holder.HasOutcome).To(BeTrue())
		Expect(a.Acquire(now, k, acquireRequest("r2")).Holder.Kind).To(Equal(errkind.None))
	})
	It("frees the key when the holder is proven not to have run, and refuses that request afterwards", func() {
		Expect(a.Acquire(now, k, acquireRequest("r1")).Won).To(BeTrue())
		record("r1", errkind.NotAdmitted)
		Expect(kindOf(a.Acquire(now, k, acquireRequest("r1")))).To(Equal(errkind.ClaimsUnavailable))
		Expect(a.Acquire(now, k, acquireRequest("r2")).Won).To(BeTrue())
	})
	It("refuses a request that was already reported as not run", func() {
		record("r1", errkind.ClaimsUnavailable)
		Expect(kindOf(a.Acquire(now, k, acquireRequest("r1")))).To(Equal(errkind.ClaimsUnavailable))
	})
	It("refuses a request with another body", func() {
		a.Acquire(now, k, acquireRequest("r1"))
		other := acquireRequest("r2")
		other.Fingerprint = 2
		Expect(kindOf(a.Acquire(now, k, other))).To(Equal(errkind.KeyReused))
	})
	It("refuses keys of another process or host and expired keys", func() {
		for _, foreign := range []claim.MintedKey{{Host: "h.1", Incarnation: 8, ID: k.ID}, {Host: "h.2", Incarnation: 7, ID: k.ID}} {
			Expect(kindOf(a.Acquire(now, foreign, acquireRequest("r1")))).To(Equal(errkind.KeyExpired))
		}
		Expect(a.Acquire(now, k, acquireRequest("r1")).Won).To(BeTrue())
		Expect(kindOf(a.Acquire(now.Add(time.Hour), k, acquireRequest("r2")))).To(Equal(errkind.KeyExpired))
		Expect(kindOf(a.Acquire(now, k, acquireRequest("r2")))).To(Equal(errkind.KeyExpired), "the clock moved backwards")
	})
	DescribeTable("parses only the canonical form of a minted key", func(text func() string, want errkind.Kind) {
		parsed, err := claim.ParseMinted(text())
		Expect(errkind.Of(err)).To(Equal(want))
		if want == errkind.None {
			Expect(parsed).To(Equal(k))
		}
	},
		Entry("a minted key", func() string { return k.String() }, errkind.None),
		Entry("a key that a caller created", func() string { return k.ID.String() }, errkind.KeyMalformed),
		Entry("no host", func() string { return ".7." + k.ID.String() }, errkind.KeyMalformed),
		Entry("no incarnation", func() string { return "h.!." + k.ID.String() }, errkind.KeyMalformed),
		Entry("an incarnation with a leading zero", func() string { return "h.1.07." + k.ID.String() }, errkind.KeyMalformed),
		Entry("no UUID", func() string { return "h.1.7.x" }, errkind.KeyMalformed),
	)
})
