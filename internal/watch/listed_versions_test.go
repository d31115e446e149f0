package watch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/watch"
)

// Guards against a stream of two versions: a version that was listed and has left between two reads
// of a host went unnoticed.
var _ = Describe("A software version that is listed and leaves between two reads", func() {
	It("is told once", func() {
		s := watch.NewState(decoder{}, zap.NewNop())
		s.ApplyListing(start, watch.Targets, page(1, record("a", "x;version=v1", 0)))
		Expect(s.TakeListed()).To(Equal(watch.ServiceVersions{"s": {"v1"}}))
		s.Apply(start, watch.Targets, 1, page(3, record("b", "y;version=v2", 1), record("b", "", 2)))
		Expect(s.Targets()).To(HaveLen(1))
		Expect(s.TakeListed()).To(Equal(watch.ServiceVersions{"s": {"v2"}}))
		Expect(s.TakeListed()).To(BeEmpty())
	})
})
