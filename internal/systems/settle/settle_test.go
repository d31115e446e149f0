package settle_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestSettle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settle")
}

var _ = Describe("Next", func() {
	var f *settle.Facts
	BeforeEach(func() {
		f = &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, PlainService: true, Allowed: []tables.TargetID{"a", "b"}}
	})
	It("cancels at all allowed targets before it concludes", func() {
		Expect(settle.Next(f).Action).To(Equal(settle.Cancel))
		f.RecordProgress("a", target.NeverStarted)
		Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Cancel, Targets: []tables.TargetID{"b"}}))
		f.RecordProgress("b", target.NeverStarted)
		Expect(settle.Next(f).Kind).To(Equal(errkind.NotAdmitted))
	})
	It("leaves the outcome unknown if one target restarted", func() {
		f.RecordProgress("a", target.NeverStarted)
		f.RecordProgress("b", target.NotKnown)
		Expect(settle.Next(f)).To(Equal(settle.Step{Kind: errkind.OutcomeUnknown}))
	})
	It("leaves the outcome unknown if one target does not respond", func() {
		f.RecordProgress("a", target.NeverStarted)
		for range settle.MaxFailures {
			Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Cancel, Targets: []tables.TargetID{"b"}}))
			f.RecordFailure("b")
		}
		Expect(settle.Next(f)).To(Equal(settle.Step{Kind: errkind.OutcomeUnknown}))
	})
	It("cancels again after the sender has stopped", func() {
		f.SenderStopped = false
		f.RecordProgress("a", target.NeverStarted)
		f.RecordProgress("b", target.NeverStarted)
		Expect(settle.Next(f).Action).To(Equal(settle.Wait))
		f.SenderStopped = true
		Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Cancel, Targets: f.Allowed}))
	})
	It("ignores a report from before the sender stopped if the target does not respond again", func() {
		f.SenderStopped = false
		f.RecordProgress("a", target.NeverStarted)
		f.RecordProgress("b", target.NeverStarted)
		f.SenderStopped = true
		f.RecordProgress("a", target.NeverStarted)
		for range settle.MaxFailures {
			f.RecordFailure("b")
		}
		Expect(settle.Next(f)).To(Equal(settle.Step{Kind: errkind.OutcomeUnknown}))
	})
	It("queries all targets for a running stream before it cancels", func() {
		f.PlainService, f.DispatchTarget = false, "b"
		Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Resume, Targets: []tables.TargetID{"b", "a"}}))
	})
	It("never continues a stream at another target than the one that began it", func() {
		f.PlainService, f.Offset, f.DispatchTarget = false, 7, "b"
		Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Resume, Targets: []tables.TargetID{"b"}, Offset: 7}))
		f.RecordNoStream("b")
		Expect(settle.Next(f)).To(Equal(settle.Step{Action: settle.Cancel, Targets: []tables.TargetID{"b", "a"}}))
		f.RecordProgress("b", target.NotKnown)
		f.RecordProgress("a", target.NeverStarted)
		Expect(settle.Next(f)).To(Equal(settle.Step{Kind: errkind.RanFailed}))
	})
	It("never reports a request as not run after a token was received", func() {
		f.PlainService, f.Offset = false, 1
		for _, id := range f.Allowed {
			f.RecordNoStream(id)
			f.RecordProgress(id, target.NeverStarted)
			f.RecordNoStream(id)
		}
		Expect(settle.Next(f).Kind).To(Equal(errkind.RanFailed))
	})
})

var progressValues = []target.Progress{
	target.NeverStarted, target.InProgress, target.Completed, target.Cancelled, target.Failed, target.NotKnown,
}

// TestNextProvesNotRun checks that Next reports a request as not run only if every
// allowed target reported NeverStarted after the sender had stopped.
func TestNextProvesNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &settle.Facts{
			MayHaveBeenSent: true,
			PlainService:    rapid.Bool().Draw(t, "plain"),
			CallerGone:      rapid.Bool().Draw(t, "caller left"),
			Allowed:         []tables.TargetID{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "targets")],
			Offset:          rapid.IntRange(0, 1).Draw(t, "offset"),
		}
		unresponsive := rapid.SampledFrom([]tables.TargetID{"", "a", "b", "c"}).Draw(t, "unresponsive")
		unresponsiveFrom := rapid.IntRange(0, 6).Draw(t, "unresponsive from step")
		for n := range 100 {
			step := settle.Next(f)
			if step.Action == settle.Finish {
				checkKind(t, f, step.Kind)
				return
			}
			if step.Action == settle.Wait {
				f.SenderStopped = true
			}
			for _, id := range step.Targets {
				if id == unresponsive && n >= unresponsiveFrom {
					f.RecordFailure(id)
					continue
				}
				recordReply(t, f, id)
			}
		}
		t.Fatalf("no outcome after 100 steps: %+v", f)
	})
}

// recordReply records a random reply of a target.
func recordReply(t *rapid.T, f *settle.Facts, id tables.TargetID) {
	switch rapid.IntRange(0, 4).Draw(t, "answer") {
	case 0:
		f.RecordFailure(id)
	case 1:
		f.RecordNoStream(id)
	case 2:
		f.RecordAnswerNotKept(id)
	default:
		f.RecordProgress(id, rapid.SampledFrom(progressValues).Draw(t, "progress"))
	}
}

// checkKind fails the test if k says that the request did not run and f does not
// prove it.
func checkKind(t *rapid.T, f *settle.Facts, k errkind.Kind) {
	if k.Answer().Ran != errkind.RanNo {
		return
	}
	if f.Offset > 0 || len(f.Allowed) == 0 {
		t.Fatalf("%s without proof: %+v", k, f)
	}
	for _, id := range f.Allowed {
		report := f.Report(id)
		if report.Progress != target.NeverStarted || !report.AfterSenderStop || report.AnswerNotKept {
			t.Fatalf("%s although %s reported %+v", k, id, report)
		}
	}
}
