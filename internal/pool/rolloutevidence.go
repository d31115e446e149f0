package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
)

// judgeFirstByte reports a first byte as evidence to the rollout of its service. It must be
// called before the scheduler records the first byte. The lock must be held.
func (c *Coordinator) judgeFirstByte(now time.Time, f firstByteReport) {
	if len(c.rollouts.controllers) == 0 {
		return
	}
	g, controller := c.judged(f.ID)
	if controller == nil || g.Answered {
		return
	}
	controller.RecordAnswer(now, answerOf(g, rollout.FirstByte, firstByteRatio(fromMS(f.TookMS), g)))
}

// judgeRelease reports the end of a grant as evidence. It must be called before the
// scheduler releases the slot. The lock must be held.
func (c *Coordinator) judgeRelease(now time.Time, e releaseReport) {
	if len(c.rollouts.controllers) == 0 {
		return
	}
	g, controller := c.judged(e.ID)
	if controller == nil {
		return
	}
	waited := now.Sub(g.GrantedAt)
	switch e.Outcome {
	case allocation.Unused, allocation.Unsent:
		controller.RecordUnsent(g.Version)
		return
	case allocation.ConnectionLost:
		controller.RecordLoss(now, g.Target)
	case allocation.Failed:
		kind := rollout.FirstByte
		if g.Answered {
			kind = rollout.EventGap
		}
		a := answerOf(g, kind, 0)
		a.Failed = true
		controller.RecordAnswer(now, a)
		controller.RecordDuration(g.Version, waited)
	case allocation.Succeeded:
		if e.MeanEventGapMS > 0 {
			gap := ratio(fromMS(e.MeanEventGapMS), c.scheduler.MeanEventGap(g.Service))
			controller.RecordAnswer(now, answerOf(g, rollout.EventGap, gap))
		}
		controller.RecordDuration(g.Version, waited)
	case allocation.Silent, allocation.Abandoned:
		// The time until the request was given up is the least that the first byte took.
		if r := firstByteRatio(waited, g); !g.Answered && rollout.IsSlow(r) {
			controller.RecordAnswer(now, answerOf(g, rollout.FirstByte, r))
		}
	}
}

// judged returns a grant and the rollout of its service; nil if there is none.
func (c *Coordinator) judged(id allocation.ID) (allocation.GrantInfo, *rollout.Controller) {
	g, known := c.scheduler.Grant(id)
	if !known {
		return g, nil
	}
	return g, c.rollouts.controllers[g.Service]
}

func answerOf(g allocation.GrantInfo, kind rollout.Kind, ratio float64) rollout.Answer {
	return rollout.Answer{Route: g.Route, Kind: kind, Target: g.Target, Version: g.Version, SentAt: g.GrantedAt, Ratio: ratio}
}

// firstByteRatio returns the ratio of a first byte, or zero if the time that was expected is
// not exact enough to judge by.
func firstByteRatio(took time.Duration, g allocation.GrantInfo) float64 {
	if g.Queued {
		return 0
	}
	return ratio(took, g.Baseline)
}

// ratio returns zero if the expected time is unknown.
func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return float64(took) / float64(expected)
}
