package model_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/model"
)

var (
	histories = flag.Uint64("histories", 20_000, "number of histories")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first history")
	workers   = flag.Int("workers", 4, "histories at once")
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// coverage is the number of histories for one of which each kind of event must
// come up.
const coverage = 200

// ruleHistories is enough for the hazard of each rule to come up.
const ruleHistories = 10_000

var _ = Describe("Claims and settling", func() {
	It("keep every promise in every history", func() {
		r := model.RunMany(model.Run, *firstSeed, *histories, *workers, model.AllRules())
		GinkgoWriter.Printf("%d histories: %+v\n", r.Histories, r.Count)
		Expect(r.Failures).To(BeEmpty())
		Expect(r.Histories).To(Equal(*histories))
		for what, n := range map[string]int{
			"runs": r.Count.Runs, "crashes": r.Count.Crashes, "pauses": r.Count.Pauses,
			"target restarts": r.Count.TargetRestarts, "outages": r.Count.Outages, "silent targets": r.Count.Silences,
			"lost answers": r.Count.LostAnswers, "lost appends": r.Count.LostAppends, "late appends": r.Count.LateAppends,
			"truncations": r.Count.Truncations, "settled sends": r.Count.Settled, "settled as not run": r.Count.SettledNotRun,
			"orphans settled": r.Count.OrphansSettled, "repeats answered": r.Count.RepeatsAnswered,
			"successes": r.Count.Replies[errkind.None], "expired keys": r.Count.Refused[errkind.KeyExpired],
			"unavailable claims": r.Count.Refused[errkind.ClaimsUnavailable],
		} {
			Expect(n).To(BeNumerically(">", *histories/coverage), what)
		}
	})
	It("keep every promise of streams in every history", func() {
		r := model.RunMany(model.RunStreams, *firstSeed, *histories, *workers, model.AllRules())
		GinkgoWriter.Printf("%d histories: %+v\n", r.Histories, r.Count)
		Expect(r.Failures).To(BeEmpty())
		for what, n := range map[string]int{
			"runs": r.Count.Runs, "crashes": r.Count.Crashes, "target restarts": r.Count.TargetRestarts,
			"resumes": r.Count.Resumes, "answers taken over": r.Count.TakenOver, "attached again": r.Count.Reattached,
			"submitted again": r.Count.Resubmitted, "late parts": r.Count.LateParts, "gaps": r.Count.Gaps,
			"settled": r.Count.Settled, "settled as not run": r.Count.SettledNotRun, "orphans settled": r.Count.OrphansSettled,
			"successes": r.Count.Replies[errkind.None], "broken answers": r.Count.Replies[errkind.RanFailed],
		} {
			Expect(n).To(BeNumerically(">", *histories/coverage), what)
		}
	})
	DescribeTable("keep the promises that they once broke",
		func(seed uint64) {
			_, failures := model.Run(seed, model.AllRules())
			Expect(failures).To(BeEmpty())
		},
		Entry("a target falls silent after the sender has stopped", uint64(1_025_499)),
		Entry("the same at another target", uint64(1_063_524)),
	)
	DescribeTable("break a promise without a rule",
		func(drop func(*model.Rules)) {
			rules := model.AllRules()
			drop(&rules)
			Expect(model.FirstBroken(model.Run, 1, ruleHistories, rules)).NotTo(BeEmpty())
		},
		Entry("lease of the dispatcher", func(r *model.Rules) { r.SendLease = false }),
		Entry("lease from the sending of a heartbeat", func(r *model.Rules) { r.LeaseFromSend = false }),
		Entry("connection before the check", func(r *model.Rules) { r.ConnectFirst = false }),
		Entry("wait before a dead gate's request is settled", func(r *model.Rules) { r.HolderLapse = false }),
	)
	DescribeTable("break a promise of streams without a rule",
		func(drop func(*model.Rules)) {
			rules := model.AllRules()
			drop(&rules)
			Expect(model.FirstBroken(model.RunStreams, 1, ruleHistories, rules)).NotTo(BeEmpty())
		},
		Entry("offsets of parts", func(r *model.Rules) { r.OffsetCheck = false }),
		Entry("every token of a whole answer", func(r *model.Rules) { r.WholeCheck = false }),
		Entry("the present connection alone", func(r *model.Rules) { r.SourceOnly = false }),
		Entry("refusals of the present attempt alone", func(r *model.Rules) { r.PresentAttempt = false }),
		Entry("the target's own word on a cancel", func(r *model.Rules) { r.AskTarget = false }),
		Entry("take-over at the offset", func(r *model.Rules) { r.ResumeAtOffset = false }),
		Entry("lease of the dispatcher", func(r *model.Rules) { r.SendLease = false }),
		Entry("wait before a dead gate's request is settled", func(r *model.Rules) { r.HolderLapse = false }),
	)
})
