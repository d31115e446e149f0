//go:build knownred

package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

var _ = Describe("Home, known red", func() {
	It("frees a key whose request did not run, and no other", inWorld(func(w *world) {
		key, first, second := keyAt(time.Now()), request("g1"), request("g2")
		acquire(w.a, key, first)
		record(w.b, key, peer.Outcome{ID: first, Kind: errkind.Overloaded})
		Expect(acquire(w.b, key, second).Won).To(BeTrue())
		record(w.a, key, peer.Outcome{ID: second, Kind: errkind.OutcomeUnknown})
		r := acquire(w.b, key, request("g1"))
		Expect(r.Won).To(BeFalse())
		Expect(r.Outcome.Kind).To(Equal(errkind.OutcomeUnknown))
	}))
})
