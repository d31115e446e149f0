package errkind_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

func TestErrkind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "errkind")
}

var _ = Describe("Kind", func() {
	It("has an answer with an explanation for each kind", func() {
		for _, k := range errkind.Kinds() {
			Expect(k.Answer().Explanation).NotTo(BeEmpty(), string(k))
			Expect(k.Answer().Status).To(BeNumerically(">=", 200), string(k))
		}
	})
	It("never advises a retry if it is unknown whether the request ran", func() {
		for _, k := range errkind.Kinds() {
			if k.Answer().Ran == errkind.RanUnknown && k != errkind.PatchUndecided {
				Expect(k.Answer().RetryAfter).To(BeZero(), string(k))
			}
		}
	})
	It("is found in a wrapped error", func() {
		err := errkind.Wrap(errors.New("cause"), errkind.Overloaded, "queue full")
		Expect(errkind.Of(err)).To(Equal(errkind.Overloaded))
		Expect(errkind.DetailOf(err)).To(Equal("queue full"))
		Expect(errkind.Of(errors.New("other"))).To(Equal(errkind.Internal))
	})
})
