package dispatcher_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// junkServer sends lines without end that are not events, and counts its responses.
type junkServer struct {
	opens, written atomic.Int64
}

func (s *junkServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.opens.Add(1)
	lines := bytes.Repeat([]byte("no event\n"), 4<<10)
	for {
		n, err := w.Write(lines)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

var _ = Describe("A stream that opens", func() {
	var r *rig
	BeforeEach(func() { r = newRig() })

	It("and breaks before each first chunk is asked for MaxFailures times", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return answer(0, 0, answerTokens, errReset), nil }
		r.deps.engine.resume = func(int) (target.Stream, error) { return answer(0, 0, answerTokens, errReset), nil }
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.OutcomeUnknown))
		generateCalls, resumes, _ := r.deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		Expect(resumes).To(HaveLen(settle.MaxFailures))
	})
	It("and breaks before the next chunk of a begun answer is asked for MaxFailures times", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return answer(0, 2, answerTokens, errReset), nil }
		r.deps.engine.resume = func(offset int) (target.Stream, error) {
			return answer(offset, offset, answerTokens, errReset), nil
		}
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.RanFailed))
		_, resumes, _ := r.deps.engine.counts()
		Expect(resumes).To(Equal([]int{2, 2, 2, 2, 2}))
	})
	It("and breaks after a chunk begins the count of failures again", func() {
		opens := 0
		next := func(offset int) (target.Stream, error) {
			if opens++; opens%3 != 0 {
				return answer(offset, offset, answerTokens, errReset), nil
			}
			return answer(offset, offset+1, answerTokens, errReset), nil
		}
		r.deps.engine.generate = func() (target.Stream, error) { return answer(0, 1, answerTokens, errReset), nil }
		r.deps.engine.resume = next
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		Expect(opens).To(BeNumerically(">", settle.MaxFailures))
	})
	It("and is silent for a time is not counted as broken", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return channelStream(nil), nil }
		opens := 0
		r.deps.engine.resume = func(offset int) (target.Stream, error) {
			if opens++; opens < settle.MaxFailures {
				return answer(offset, offset, answerTokens, errReset), nil
			}
			if opens == settle.MaxFailures {
				return channelStream(nil), nil
			}
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
	})
	It("and sends lines without end that are no events ends with an outcome", func() {
		junk := &junkServer{}
		server := httptest.NewServer(junk)
		DeferCleanup(server.Close)
		engine := target.NewEngineClient(strings.TrimPrefix(server.URL, "http://"))
		r.deps.engine.generate = func() (target.Stream, error) { return engine.Generate(r.ctx, target.Generation{ID: "g1.x"}) }
		r.deps.engine.resume = func(offset int) (target.Stream, error) { return engine.Resume(r.ctx, "g1.x", offset) }
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.OutcomeUnknown))
		Expect(junk.opens.Load()).To(BeEquivalentTo(1 + settle.MaxFailures))
		GinkgoWriter.Printf("%d responses, %d bytes written\n", junk.opens.Load(), junk.written.Load())
	})
})
