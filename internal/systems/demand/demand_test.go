package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demand")
}

var _ = Describe("Meter", func() {
	It("measures a steady rate, which decays after the requests stop", func() {
		m := demand.NewMeter()
		now := time.Unix(0, 0)
		for range 6000 {
			now = now.Add(time.Second)
			m.Add(now, "s", 500)
		}
		Expect(m.Rates(now)).To(HaveKeyWithValue(tables.ServiceID("s"), BeNumerically("~", 500, 25)))
		Expect(m.Rates(now.Add(demand.TimeConstant))).To(HaveKeyWithValue(tables.ServiceID("s"), BeNumerically("~", 184, 10)))
		Expect(m.Rates(now.Add(2 * time.Hour))).To(BeEmpty())
	})
	It("uses the predicted length for a request that did not run", func() {
		Expect(demand.Tokens(&tables.Request{PromptTokens: 100, PredictedTokens: 50})).To(Equal(150))
		Expect(demand.Tokens(&tables.Request{PromptTokens: 100, PredictedTokens: 50, TokensOut: 80})).To(Equal(180))
	})
})
