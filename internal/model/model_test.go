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
	workers   = flag.Int("workers", 4, "number of histories simulated concurrently")
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// historiesPerEvent sets the required event frequency: each kind of event must occur more
// often than once per this number of histories.
const historiesPerEvent = 200

// ruleHistories is the maximum number of histories until a disabled rule must cause a
// violation.
const ruleHistories = 10_000

var _ = Describe("Claims and outcome resolution", func() {
	It("keep every promise in every history", func() {
		r := model.RunMany(model.Run, *firstSeed, *histories, *workers, model.AllRules())
		GinkgoWriter.Printf("%d histories: %+v\n", r.Histories, r.Count)
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Histories).To(Equal(*histories))
		for name, n := range map[string]int{
			"runs": r.Count.Runs, "crashes": r.Count.Crashes, "pauses": r.Count.Pauses,
			"target restarts": r.Count.TargetRestarts, "outages": r.Count.Outages, "unreachable targets": r.Count.UnreachableTargets,
			"lost append replies": r.Count.LostAppendReplies, "lost appends": r.Count.LostAppends, "late appends": r.Count.LateAppends,
			"truncations": r.Count.Truncations, "outcome resolutions": r.Count.Resolutions, "outcomes resolved as not run": r.Count.ResolvedNotRun,
			"orphan resolutions": r.Count.OrphanResolutions, "retries answered": r.Count.RetriesAnswered,
			"successes": r.Count.Replies[errkind.None], "refusals of expired keys": r.Count.AcquireErrors[errkind.KeyExpired],
			"refusals with claims unavailable": r.Count.AcquireErrors[errkind.ClaimsUnavailable],
		} {
			Expect(n).To(BeNumerically(">", *histories/historiesPerEvent), name)
		}
	})
	It("keep every promise of streams in every history", func() {
		r := model.RunMany(model.RunStreams, *firstSeed, *histories, *workers, model.AllRules())
		GinkgoWriter.Printf("%d histories: %+v\n", r.Histories, r.Count)
		Expect(r.Violations).To(BeEmpty())
		for name, n := range map[string]int{
			"runs": r.Count.Runs, "crashes": r.Count.Crashes, "target restarts": r.Count.TargetRestarts,
			"resumes": r.Count.Resumes, "takeovers": r.Count.Takeovers, "reattachments": r.Count.Reattachments,
			"resubmissions": r.Count.Resubmissions, "late chunks": r.Count.LateChunks, "missing chunks": r.Count.MissingChunks,
			"outcome resolutions": r.Count.Resolutions, "outcomes resolved as not run": r.Count.ResolvedNotRun, "orphan resolutions": r.Count.OrphanResolutions,
			"successes": r.Count.Replies[errkind.None], "answers that failed after they started": r.Count.Replies[errkind.RanFailed],
		} {
			Expect(n).To(BeNumerically(">", *histories/historiesPerEvent), name)
		}
	})
	DescribeTable("keep the guarantees for seeds that once violated them",
		func(seed uint64) {
			_, violations := model.Run(seed, model.AllRules())
			Expect(violations).To(BeEmpty())
		},
		Entry("a target becomes unreachable after the sender has stopped", uint64(1_025_499)),
		Entry("the same fault at the other target", uint64(1_063_524)),
	)
	DescribeTable("violate a guarantee if a rule is disabled",
		func(disable func(*model.Rules)) {
			rules := model.AllRules()
			disable(&rules)
			Expect(model.FirstViolation(model.Run, 1, ruleHistories, rules)).NotTo(BeEmpty())
		},
		Entry("SendLease", func(r *model.Rules) { r.SendLease = false }),
		Entry("LeaseFromSend", func(r *model.Rules) { r.LeaseFromSend = false }),
		Entry("ConnectBeforeCheck", func(r *model.Rules) { r.ConnectBeforeCheck = false }),
		Entry("WaitForHolder", func(r *model.Rules) { r.WaitForHolder = false }),
	)
	DescribeTable("violate a guarantee of streams if a rule is disabled",
		func(disable func(*model.Rules)) {
			rules := model.AllRules()
			disable(&rules)
			Expect(model.FirstViolation(model.RunStreams, 1, ruleHistories, rules)).NotTo(BeEmpty())
		},
		Entry("CheckOffsets", func(r *model.Rules) { r.CheckOffsets = false }),
		Entry("CheckComplete", func(r *model.Rules) { r.CheckComplete = false }),
		Entry("CurrentLinkOnly", func(r *model.Rules) { r.CurrentLinkOnly = false }),
		Entry("CurrentAttemptOnly", func(r *model.Rules) { r.CurrentAttemptOnly = false }),
		Entry("QueryTarget", func(r *model.Rules) { r.QueryTarget = false }),
		Entry("ResumeAtOffset", func(r *model.Rules) { r.ResumeAtOffset = false }),
		Entry("SendLease", func(r *model.Rules) { r.SendLease = false }),
		Entry("WaitForHolder", func(r *model.Rules) { r.WaitForHolder = false }),
	)
})
