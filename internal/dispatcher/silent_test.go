package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

var _ = Describe("A target that was silent and answers a query before the request that it received earlier", func() {
	var r *rig
	BeforeEach(func() { r = newRig() })

	// knownOnSecondQuery answers the first query as one about an unknown dispatch.
	knownOnSecondQuery := func() func(int) (target.Stream, error) {
		queries := 0
		return func(offset int) (target.Stream, error) {
			if queries++; queries == 1 {
				return nil, errNoStream
			}
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
	}

	It("does not lose the answer of its caller", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return nil, errReset }
		r.deps.engine.resume = knownOnSecondQuery()
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		generateCalls, _, cancels := r.deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		Expect(cancels).To(BeZero())
	})
	It("does not lose the answer of a caller whose dispatcher was lost", func() {
		r.deps.engine.resume = knownOnSecondQuery()
		var result peer.AttachResult
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: "g1.x", Target: "e1"}, &result)).To(Succeed())
		Expect(result.Known).To(BeTrue())
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
	})
	It("is asked only once for a stream of which a part has arrived", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return answer(0, 2, answerTokens, errReset), nil }
		r.deps.engine.resume = knownOnSecondQuery()
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.RanFailed))
		_, resumes, _ := r.deps.engine.counts()
		Expect(resumes).To(Equal([]int{2}))
	})
})

// silentService is a plain service that answers the first query before it reads the
// call.
type silentService struct {
	target.PlainService
	queries atomic.Int64
	cancels atomic.Int64
	release chan struct{}
}

func (s *silentService) Call(ctx context.Context, _ target.Call) (target.Response, error) {
	select {
	case <-s.release:
		return target.Response{Status: http.StatusOK, Body: []byte("{}")}, nil
	case <-ctx.Done():
		return target.Response{}, errReset
	}
}

func (s *silentService) Outcome(context.Context, tables.RequestID) (target.Response, target.Progress, error) {
	if s.queries.Add(1) == 1 {
		return target.Response{}, target.NeverStarted, nil
	}
	return target.Response{}, target.InProgress, nil
}

func (s *silentService) Cancel(context.Context, tables.RequestID) (target.Progress, error) {
	s.cancels.Add(1)
	return target.NeverStarted, nil
}

var _ = Describe("A plain service that was silent and answers a query before the call that it received earlier", func() {
	It("does not lose the answer of its caller", func() {
		r := newRig()
		service := &silentService{release: make(chan struct{})}
		r.deps.plain = service
		r.deps.configure(func(doc *config.Document) {
			doc.Services["desk"] = config.Service{Kind: config.PlainService, Operations: map[string]config.Operation{"confirm": {}}}
			doc.Targets["p1"] = config.Target{Address: "127.0.0.1:2", Services: []string{"desk"}, WindowMax: 1}
		})
		r.d.SyncTargets()
		Eventually(func() []tables.TargetSummary { return r.d.Summary(r.ctx) }).WithTimeout(timeout).Should(HaveLen(2))
		r.submitWith(func(m *peer.Submit) {
			m.Service, m.Operation, m.Plain, m.Allowed = "desk", "confirm", true, []tables.TargetID{"p1"}
		})
		Eventually(func() int { return int(service.queries.Load()) + len(r.gate.outcomes()) }).WithTimeout(timeout).Should(BeNumerically(">=", 2))
		close(service.release)
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		Expect(service.cancels.Load()).To(BeZero())
	})
})
