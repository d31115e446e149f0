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

const pages = "../../docs/capacity/"

func writtenSlopes() Slopes {
	f, err := os.Open(pages + "slopes.csv")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	slopes, err := ReadCSV(f)
	Expect(err).NotTo(HaveOccurred())
	return slopes
}

var _ = Describe("The pages", func() {
	It("show the budget that the written slopes give", func() {
		var want bytes.Buffer
		Expect(WriteBudget(&want, Target(), writtenSlopes())).To(Succeed())
		page, err := os.ReadFile(pages + "budget.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(want.String()))
	})
	It("cite measured slopes with the values that were measured", func() {
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		cited, unknown := Cite(string(page), writtenSlopes())
		Expect(unknown).To(BeEmpty())
		Expect(cited).To(Equal(string(page)))
		Expect(len(citation.FindAllString(string(page), -1))).To(BeNumerically(">", 20))
	})
	It("take new values in the unit that they name", func() {
		slopes := Slopes{"wire.a": {Value: 0.0123456}, "host.b": {Value: 0.015}, "config.c": {Value: 318_800}}
		page, unknown := Cite("`wire.a` 1 ms, `host.b` 9% of\n`config.c` 2.5 KB; `path.d` 4 s", slopes)
		Expect(page).To(Equal("`wire.a` 12.3 ms, `host.b` 1.50% of\n`config.c` 319 KB; `path.d` 4 s"))
		Expect(unknown).To(Equal([]string{"path.d"}))
	})
})

var _ = Describe("Size", func() {
	It("gives a valid configuration with every part of the target", func() {
		d := Target().document()
		Expect(config.Validate(d)).To(Succeed())
		Expect(d.Targets).To(HaveLen(1000))
		Expect(d.Customers).To(HaveLen(580))
		Expect(Target().listing().Hosts).To(HaveLen(410))
	})
	It("counts the places that random draws hit", func() {
		Expect(distinct(1, 5)).To(BeNumerically("~", 1, 1e-9))
		Expect(distinct(2, 2)).To(BeNumerically("~", 1.5, 1e-9))
	})
})

var _ = Describe("The simulated claim stream", func() {
	It("decides every claim alike in every run and appends no more than it may", func() {
		for _, perHome := range []float64{4, 20} {
			first := simulateShard(9, perHome)
			Expect(simulateShard(9, perHome)).To(Equal(first))
			Expect(first.appendsPerSecond).To(BeNumerically("<=", perHome))
			Expect(first.meanWait).To(BeNumerically(">=", appendLatency))
			Expect(first.longestWait).To(BeNumerically("<", time.Second))
		}
	})
})
