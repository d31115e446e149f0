package capacity

import (
	"bytes"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

const pagesDir = "../../docs/capacity/"

func readSlopes() Slopes {
	f, err := os.Open(pagesDir + "slopes.csv")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	slopes, err := ReadCSV(f)
	Expect(err).NotTo(HaveOccurred())
	return slopes
}

var _ = Describe("The pages", func() {
	It("contain the budget computed from slopes.csv", func() {
		var want bytes.Buffer
		Expect(WriteBudget(&want, TargetSize(), readSlopes())).To(Succeed())
		page, err := os.ReadFile(pagesDir + "budget.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(want.String()))
	})
	It("cite slopes with the values in slopes.csv", func() {
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		cited, unknown := UpdateCitations(string(page), readSlopes())
		Expect(unknown).To(BeEmpty())
		Expect(cited).To(Equal(string(page)))
		Expect(len(citation.FindAllString(string(page), -1))).To(BeNumerically(">", 20))
	})
	It("receive new values in the units that they use", func() {
		slopes := Slopes{"wire.a": {Value: 0.0123456}, "host.b": {Value: 0.015}, "config.c": {Value: 318_800}}
		page, unknown := UpdateCitations("`wire.a` 1 ms, `host.b` 9% of\n`config.c` 2.5 KB; `path.d` 4 s", slopes)
		Expect(page).To(Equal("`wire.a` 12.3 ms, `host.b` 1.50% of\n`config.c` 319 KB; `path.d` 4 s"))
		Expect(unknown).To(Equal([]string{"path.d"}))
	})
})

var _ = Describe("Size", func() {
	It("generates a valid configuration and listing of the target size", func() {
		d := TargetSize().document()
		Expect(config.Validate(d)).To(Succeed())
		Expect(d.Targets).To(HaveLen(1000))
		Expect(d.Customers).To(HaveLen(580))
		Expect(TargetSize().listing().Hosts).To(HaveLen(410))
	})
	It("computes the expected number of distinct items in random draws", func() {
		Expect(expectedDistinct(1, 5)).To(BeNumerically("~", 1, 1e-9))
		Expect(expectedDistinct(2, 2)).To(BeNumerically("~", 1.5, 1e-9))
	})
})

var _ = Describe("The simulated claim stream", func() {
	It("is deterministic and respects the append rate", func() {
		for _, perStream := range []float64{4, 20} {
			first := simulateShard(9, perStream)
			Expect(simulateShard(9, perStream)).To(Equal(first))
			Expect(first.appendsPerSecond).To(BeNumerically("<=", perStream))
			Expect(first.meanWait).To(BeNumerically(">=", appendLatency))
			Expect(first.longestWait).To(BeNumerically("<", time.Second))
		}
	})
})
