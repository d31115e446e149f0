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
		r := model.RunMany(*firstSeed, *histories, *workers, model.AllRules())
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
			Expect(model.FirstBroken(1, ruleHistories, rules)).NotTo(BeEmpty())
		},
		Entry("lease of the dispatcher", func(r *model.Rules) { r.SendLease = false }),
		Entry("lease from the sending of a heartbeat", func(r *model.Rules) { r.LeaseFromSend = false }),
		Entry("connection before the check", func(r *model.Rules) { r.ConnectFirst = false }),
		Entry("wait before a dead gate's request is settled", func(r *model.Rules) { r.HolderLapse = false }),
	)
})
