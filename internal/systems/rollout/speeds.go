package rollout

import (
	"math"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// speedMemory is the number of responses over which the slowdown of a target is averaged.
	speedMemory = 20
	// usualMemory is that of the old targets together. It is short, so that the old targets
	// of the same seconds prevail.
	usualMemory = 5
	// minSpeedAnswers is the number of responses after which a slowdown counts.
	minSpeedAnswers = 12
	// minSlowTargets is the least number of targets that a median is taken of.
	minSlowTargets = 3
	// slowMedian is the ratio to the old version above which the median of the new targets
	// makes a version slow.
	slowMedian = 2
	// maxRatio bounds the effect of one response.
	maxRatio = 30
)

// times sums the logarithms of the ratios of responses to their expected times.
type times struct {
	sum float64
	n   int
}

func (t *times) add(ratio float64) {
	t.sum += math.Log(min(ratio, maxRatio))
	t.n++
}

// speeds holds the mean logarithm of the slowdown of each new target, relative to the old
// ones in the same stratum and bucket.
type speeds struct {
	targets map[speedKey]times
	// usual are the times of the old targets.
	usual map[stratum]times
}

type speedKey struct {
	target tables.TargetID
	kind   Kind
}

func newSpeeds() speeds {
	return speeds{targets: make(map[speedKey]times), usual: make(map[stratum]times)}
}

// add adds the responses of a cell that is complete. Earlier old responses count as
// usualMemory ones.
func (s speeds) add(key stratum, c *cell) {
	all := s.usual[key].plus(c.oldTimes, usualMemory+c.oldTimes.n)
	s.usual[key] = all.limit(usualMemory)
	if all.n < minOldTimes {
		return
	}
	usual := all.sum / float64(all.n)
	for id, t := range c.newTimes {
		own := speedKey{id, key.kind}
		excess := times{t.sum - float64(t.n)*usual, t.n}
		s.targets[own] = s.targets[own].plus(excess, speedMemory)
	}
}

// plus returns the sum of both, of which the earlier part is forgotten beyond a number of
// responses.
func (t times) plus(added times, most int) times {
	return times{t.sum + added.sum, t.n + added.n}.limit(most)
}

func (t times) limit(most int) times {
	if t.n <= most {
		return t
	}
	return times{t.sum * float64(most) / float64(t.n), most}
}

// slowdown returns the median slowdown of the new targets relative to the old ones, that of
// the first bytes or of the gaps; zero if too few targets have one.
func (s speeds) slowdown() float64 {
	worst := 0.0
	for _, kind := range []Kind{FirstByte, EventGap} {
		var means []float64
		for key, t := range s.targets {
			if key.kind == kind && t.n >= minSpeedAnswers {
				means = append(means, t.sum/float64(t.n))
			}
		}
		if len(means) >= minSlowTargets {
			slices.Sort(means)
			worst = max(worst, math.Exp(means[(len(means)-1)/2]))
		}
	}
	return worst
}
