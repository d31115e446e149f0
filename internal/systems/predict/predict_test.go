package predict_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestPredict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "predict")
}

var _ = Describe("Lengths", func() {
	It("predicts classes whose lengths differ by a factor of 100", func() {
		l := predict.NewLengthPredictor()
		rng := rand.New(rand.NewPCG(1, 1))
		short := &tables.Request{Customer: "a", Service: "s", PromptTokens: 300, MaxTokens: 10_000}
		long := &tables.Request{Customer: "a", Service: "s", PromptTokens: 6000, MaxTokens: 10_000}
		for range 500 {
			l.Observe(short, int(8*math.Exp(0.4*rng.NormFloat64()))+1)
			l.Observe(long, int(800*math.Exp(0.4*rng.NormFloat64())))
		}
		Expect(l.Predict(short)).To(BeNumerically("~", 9, 3))
		Expect(l.Predict(long)).To(BeNumerically("~", 885, 150))
		otherCustomer := &tables.Request{Customer: "b", Service: "s", PromptTokens: 6000, MaxTokens: 500}
		Expect(l.Predict(otherCustomer)).To(Equal(500))
	})
	It("limits the default prediction to MaxTokens", func() {
		l := predict.NewLengthPredictor()
		Expect(l.Predict(&tables.Request{MaxTokens: 20})).To(Equal(20))
		Expect(l.Predict(&tables.Request{})).To(BeNumerically(">", 0))
	})
})
