package links_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/links"
)

func TestLinks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "links")
}

var _ = Describe("OverloadDetector", func() {
	warmUp := func(d *links.OverloadDetector) {
		for range 50 {
			d.ObserveWork(10 * time.Microsecond)
			d.ObserveTimer(100*time.Millisecond, 101*time.Millisecond)
		}
	}

	It("reports overload after two slow samples and clears it after a fast one", func() {
		d := links.NewOverloadDetector()
		warmUp(d)
		Expect(d.Overloaded()).To(BeFalse())
		d.ObserveWork(50 * time.Microsecond)
		Expect(d.Overloaded()).To(BeFalse())
		d.ObserveWork(50 * time.Microsecond)
		Expect(d.Overloaded()).To(BeTrue())
		d.ObserveWork(11 * time.Microsecond)
		Expect(d.Overloaded()).To(BeFalse())
	})

	It("reports overload while timers keep firing late", func() {
		d := links.NewOverloadDetector()
		warmUp(d)
		d.ObserveTimer(100*time.Millisecond, 300*time.Millisecond)
		d.ObserveTimer(100*time.Millisecond, 300*time.Millisecond)
		Expect(d.Overloaded()).To(BeTrue())
		warmUp(d)
		Expect(d.Overloaded()).To(BeFalse())
	})

	It("tolerates one late timer during a burst", func() {
		d := links.NewOverloadDetector()
		warmUp(d)
		d.ObserveTimer(100*time.Millisecond, 300*time.Millisecond)
		Expect(d.Overloaded()).To(BeFalse())
	})

	It("does not report a host that has always been slow", func() {
		d := links.NewOverloadDetector()
		for range 50 {
			d.ObserveWork(80 * time.Microsecond)
		}
		Expect(d.Overloaded()).To(BeFalse())
	})
})
