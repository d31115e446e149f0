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

var _ = Describe("Lag", func() {
	usual := func(l *links.Lag) {
		for range 50 {
			l.Work(10 * time.Microsecond)
			l.Observe(100*time.Millisecond, 101*time.Millisecond)
		}
	}

	It("finds a host slow after two samples, and fast again after one", func() {
		l := links.NewLag()
		usual(l)
		Expect(l.Busy()).To(BeFalse())
		l.Work(50 * time.Microsecond)
		Expect(l.Busy()).To(BeFalse())
		l.Work(50 * time.Microsecond)
		Expect(l.Busy()).To(BeTrue())
		l.Work(11 * time.Microsecond)
		Expect(l.Busy()).To(BeFalse())
	})

	It("finds a host busy whose timers keep firing late", func() {
		l := links.NewLag()
		usual(l)
		l.Observe(100*time.Millisecond, 300*time.Millisecond)
		l.Observe(100*time.Millisecond, 300*time.Millisecond)
		Expect(l.Busy()).To(BeTrue())
		usual(l)
		Expect(l.Busy()).To(BeFalse())
	})

	It("keeps a host through one late timer at the peak of a burst", func() {
		l := links.NewLag()
		usual(l)
		l.Observe(100*time.Millisecond, 300*time.Millisecond)
		Expect(l.Busy()).To(BeFalse())
	})

	It("does not take a host that was always slow for one that has turned slow", func() {
		l := links.NewLag()
		for range 50 {
			l.Work(80 * time.Microsecond)
		}
		Expect(l.Busy()).To(BeFalse())
	})
})
