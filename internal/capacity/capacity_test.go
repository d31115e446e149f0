package capacity

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
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
		slopes := writtenSlopes()
		cited := citation.FindAllStringSubmatch(string(page), -1)
		Expect(len(cited)).To(BeNumerically(">", 10))
		for _, c := range cited {
			Expect(slopes).To(HaveKey(c[1]))
			if c[2] == "" {
				continue
			}
			value, err := strconv.ParseFloat(c[2], 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(value*units[c[3]]).To(BeNumerically("~", slopes.Value(c[1]), slopes.Value(c[1])/20), c[0])
		}
	})
})

// citation is the name of a slope, with its value in the units that follow it.
var citation = regexp.MustCompile("`((?:config|members|claims|dispatcher|gate|wire|host|path)\\.[a-z0-9_.]+)`(?:\\s+([0-9.]+)(?:\\s*(µs\\b|ms\\b|s\\b|B\\b|KB\\b|MB\\b|%))?)?")

// units are the factors of the units of citations; numbers without one count.
var units = map[string]float64{"": 1, "µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "KB": 1e3, "MB": 1e6, "%": 0.01}

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
