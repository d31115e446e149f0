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
	It("tells short from long classes a hundredfold apart", func() {
		l := predict.NewLengths()
		rng := rand.New(rand.NewPCG(1, 1))
		tag := &tables.Request{Customer: "a", Service: "s", PromptTokens: 300, MaxTokens: 10_000}
		dossier := &tables.Request{Customer: "a", Service: "s", PromptTokens: 6000, MaxTokens: 10_000}
		for range 500 {
			l.Observe(tag, int(8*math.Exp(0.4*rng.NormFloat64()))+1)
			l.Observe(dossier, int(800*math.Exp(0.4*rng.NormFloat64())))
		}
		Expect(l.Predict(tag)).To(BeNumerically("~", 9, 3))
		Expect(l.Predict(dossier)).To(BeNumerically("~", 885, 150))
		stranger := &tables.Request{Customer: "b", Service: "s", PromptTokens: 6000, MaxTokens: 500}
		Expect(l.Predict(stranger)).To(Equal(500))
	})
	It("predicts within the caller's bound when nothing is known", func() {
		l := predict.NewLengths()
		Expect(l.Predict(&tables.Request{MaxTokens: 20})).To(Equal(20))
		Expect(l.Predict(&tables.Request{})).To(BeNumerically(">", 0))
	})
})
