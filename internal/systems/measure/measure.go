// Package measure estimates the speed of targets from the progress of answers,
// and derives concurrency windows and straggler marks from the estimates.
package measure

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// stepWeight is the weight of one decode step in the moving averages of the
	// token gap and the slowdown.
	stepWeight = 0.005
	// prefillWeight is the weight of one prompt in the moving average of the
	// prefill throughput.
	prefillWeight = 0.1
	// The baseline tracks the quantile baselineQuantile of the slowdown of decode
	// steps. A step with a higher slowdown raises the baseline by about the fraction
	// baselineStep*baselineQuantile. A step with a lower one reduces the baseline by
	// about baselineStep*(1-baselineQuantile).
	baselineQuantile = 0.25
	baselineStep     = 0.02
	// minSamples is the number of samples required before a target may become a
	// straggler or cease to be one.
	minSamples = 100
	// A target becomes a straggler when its baseline reaches ejectBaseline, and
	// ceases to be one when it falls to readmitBaseline.
	ejectBaseline   = 2.0
	readmitBaseline = 1.4
	// maxSlowdown caps the slowdown in one sample, so that a single pause has
	// limited effect on the average Estimate.Slowdown.
	maxSlowdown = 8
	// failureBackoff is how long a target gets no new work after it failed a
	// request, and how long a new straggler waits for its first probe request.
	failureBackoff = 2 * time.Second
)

// RecordChunk records that the next chunk of the answer to r arrived from t at
// now. tokens is the number of tokens in the chunk.
func RecordChunk(now time.Time, t *tables.Target, r *tables.Request, tokens int) {
	if r.FirstToken.IsZero() {
		r.FirstToken = now
		recordPrefill(now, t, r)
	} else if tokens > 0 && !r.PlainService {
		recordTokenGap(t, now.Sub(r.LastProgress)/time.Duration(tokens))
	}
	r.LastProgress = now
	r.TokensOut += tokens
}

// recordPrefill updates the prefill throughput of t from the first token of r.
func recordPrefill(now time.Time, t *tables.Target, r *tables.Request) {
	elapsed := now.Sub(r.Started).Seconds()
	computed := float64(r.PromptTokens - r.CachedTokens)
	if r.PlainService || elapsed <= 0 || computed <= 0 {
		return
	}
	t.Estimate.PrefillTokensPerSecond = smooth(t.Estimate.PrefillTokensPerSecond, computed/elapsed, prefillWeight)
	t.Estimate.Updated = now
}

// recordTokenGap updates the estimates of t with one sample. interval is the mean
// time per token of a chunk.
func recordTokenGap(t *tables.Target, interval time.Duration) {
	e := &t.Estimate
	// A decode step produces one sample per running sequence, so the weight of the
	// step is divided equally among these samples.
	share := 1 / float64(max(t.Running, 1))
	slowdown := min(float64(interval)/float64(t.Speed.TokenGap(t.Running)), maxSlowdown)
	e.TokenGap = time.Duration(smooth(float64(e.TokenGap), float64(interval), stepWeight*share))
	e.Slowdown = smooth(e.Slowdown, slowdown, stepWeight*share)
	e.Baseline = trackQuantile(e.Baseline, slowdown, baselineStep*share)
	e.Samples++
}

func smooth(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

// trackQuantile moves a running estimate of a quantile towards sample. The first
// call, with old zero, returns 1.
func trackQuantile(old, sample, step float64) float64 {
	if old == 0 {
		return 1
	}
	if sample > old {
		return old * (1 + step*baselineQuantile)
	}
	return old * (1 - step*(1-baselineQuantile))
}

// RecordFinish records that r ended on t with kind. If kind is NotAdmitted,
// RanFailed or OutcomeUnknown, t gets no new work for failureBackoff.
func RecordFinish(now time.Time, t *tables.Target, r *tables.Request, kind errkind.Kind) {
	r.State = tables.Finished
	switch kind {
	case errkind.NotAdmitted, errkind.RanFailed, errkind.OutcomeUnknown:
		if until := now.Add(failureBackoff); until.After(t.DownUntil) {
			t.DownUntil = until
		}
	}
}

// Tick updates the windows and straggler marks of all targets except those of
// plain services.
func Tick(now time.Time, targets *tables.Targets) {
	targets.Each(func(t *tables.Target) { updateTarget(now, t) })
}

func updateTarget(now time.Time, t *tables.Target) {
	if t.PlainService {
		return
	}
	updateStraggler(now, t)
	if t.WindowMax > 0 {
		t.Window = max(float64(t.WindowMax)/max(t.Estimate.Baseline, 1), float64(t.WindowMin), 1)
	}
}

func updateStraggler(now time.Time, t *tables.Target) {
	e := t.Estimate
	switch {
	case e.Samples < minSamples:
	case !t.Straggler && e.Baseline >= ejectBaseline:
		t.Straggler = true
		t.ProbeAt = now.Add(failureBackoff)
	case t.Straggler && e.Baseline <= readmitBaseline:
		t.Straggler = false
	}
}
