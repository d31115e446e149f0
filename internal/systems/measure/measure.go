// Package measure turns the progress of answers into estimates of the speed
// of targets, and the estimates into windows and straggler marks.
package measure

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// meanWeight is the weight of one decode step in the smoothed ratio.
	meanWeight = 0.005
	// prefillWeight is the weight of one prompt in the smoothed throughput.
	prefillWeight = 0.1
	// quantile is the share of steps below the baseline, and quantileStep the
	// relative distance by which one step moves it.
	quantile     = 0.25
	quantileStep = 0.02
	// minSamples is the number of samples before a target is judged.
	minSamples = 100
	// ejectAt and readmitAt are baselines at which a target becomes a
	// straggler and ceases to be one.
	ejectAt   = 2.0
	readmitAt = 1.4
	// maxRatio bounds one sample, so that a pause does not mark a target.
	maxRatio = 8
	// downAfterFailure keeps new work off a target that lost a request.
	downAfterFailure = 2 * time.Second
)

// Chunk records that tokens of r arrived from t at now.
func Chunk(now time.Time, t *tables.Target, r *tables.Request, tokens int) {
	if r.FirstToken.IsZero() {
		r.FirstToken = now
		prefill(now, t, r)
	} else if tokens > 0 && !r.Plain {
		gap(t, now.Sub(r.LastProgress)/time.Duration(tokens))
	}
	r.LastProgress = now
	r.TokensOut += tokens
}

// prefill notes the prompt throughput that r saw.
func prefill(now time.Time, t *tables.Target, r *tables.Request) {
	took := now.Sub(r.Started).Seconds()
	computed := float64(r.PromptTokens - r.CachedTokens)
	if r.Plain || took <= 0 || computed <= 0 {
		return
	}
	t.Estimate.PrefillTokensPerSecond = smooth(t.Estimate.PrefillTokensPerSecond, computed/took, prefillWeight)
	t.Estimate.Updated = now
}

// gap takes one time between tokens into the estimate of t.
func gap(t *tables.Target, took time.Duration) {
	e := &t.Estimate
	// Each step of the engine shows in every running sequence.
	share := 1 / float64(max(t.Running, 1))
	ratio := min(float64(took)/float64(t.Speed.Gap(t.Running)), maxRatio)
	e.TokenGap = time.Duration(smooth(float64(e.TokenGap), float64(took), meanWeight*share))
	e.Slowdown = smooth(e.Slowdown, ratio, meanWeight*share)
	e.Baseline = track(e.Baseline, ratio, quantileStep*share)
	e.Samples++
}

func smooth(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

// track moves an estimate of the quantile towards sample.
func track(old, sample, step float64) float64 {
	if old == 0 {
		return 1
	}
	if sample > old {
		return old * (1 + step*quantile)
	}
	return old * (1 - step*(1-quantile))
}

// Finished records that r ended at t with kind. A target that failed a request
// gets no new work for a moment.
func Finished(now time.Time, t *tables.Target, r *tables.Request, kind errkind.Kind) {
	r.State = tables.Finished
	switch kind {
	case errkind.NotAdmitted, errkind.RanFailed, errkind.OutcomeUnknown:
		if until := now.Add(downAfterFailure); until.After(t.DownUntil) {
			t.DownUntil = until
		}
	}
}

// Tick updates windows and straggler marks of all targets.
func Tick(now time.Time, targets *tables.Targets) {
	targets.All(func(t *tables.Target) { update(now, t) })
}

func update(now time.Time, t *tables.Target) {
	if t.Plain {
		return
	}
	mark(now, t)
	if t.WindowMax > 0 {
		t.Window = max(float64(t.WindowMax)/max(t.Estimate.Baseline, 1), float64(t.WindowMin), 1)
	}
}

func mark(now time.Time, t *tables.Target) {
	e := t.Estimate
	switch {
	case e.Samples < minSamples:
	case !t.Straggler && e.Baseline >= ejectAt:
		t.Straggler = true
		t.ProbeAt = now.Add(downAfterFailure)
	case t.Straggler && e.Baseline <= readmitAt:
		t.Straggler = false
	}
}
