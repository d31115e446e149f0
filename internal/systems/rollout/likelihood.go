package rollout

import (
	"math"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// backgroundWeight is the number of responses as which the old share since the order
	// counts in the share of a bucket.
	backgroundWeight = 20
	// minBadAnswers is the least number of bad responses, without those of the target that
	// contributes most, of a bad version.
	minBadAnswers = 4
	// singleDoubt is the most that one target contributes to the doubt about a version.
	singleDoubt = 1
	// minOldTimes is the least number of timed old responses in a bucket whose times are
	// compared. How long responses take depends on the load of the moment, how often they fail hardly.
	minOldTimes = 3
	// maxShare bounds the shares of bad responses that are tested.
	maxShare = 0.99
)

// badThreshold is the log-likelihood ratio above which a version is bad.
var badThreshold = math.Log(1000)

// excesses are the tested amounts by which the bad share of the new version exceeds that of
// the old one. The smaller one is what must be found; the larger one finds grave faults
// sooner where the old version has many bad responses of its own.
var excesses = [...]float64{0.1, 0.4}

// score is the evidence of one target in one stratum.
type score struct {
	// ratios are the log-likelihood ratios for the excesses.
	ratios [len(excesses)]float64
	Counts
}

// scores are the evidence of new targets by stratum.
type scores map[stratum]map[tables.TargetID]score

// addBucket adds the responses of a bucket. background are the old responses since the
// order.
func (s scores) addBucket(b bucket, background map[stratum]Counts) {
	comparable := b.oldTimes() >= minOldTimes
	for key, c := range b.cells {
		if key.kind == Failure || comparable {
			s.add(key, c, background[key])
		}
	}
}

// oldTimes returns the number of old responses whose times were judged.
func (b bucket) oldTimes() int {
	n := 0
	for key, c := range b.cells {
		if key.kind != Failure {
			n += c.old.Answers
		}
	}
	return n
}

// add adds the responses of a cell.
func (s scores) add(key stratum, c *cell, background Counts) {
	if len(c.new) == 0 {
		return
	}
	if s[key] == nil {
		s[key] = make(map[tables.TargetID]score)
	}
	usual := oldShare(c.old, background)
	for id, n := range c.new {
		sum := s[key][id]
		sum.Answers += n.Answers
		sum.Bad += n.Bad
		for i, excess := range excesses {
			sum.ratios[i] += logRatio(*n, usual, excess)
		}
		s[key][id] = sum
	}
}

// oldShare returns the share of bad responses among old ones of a bucket, smoothed by the
// background.
func oldShare(n, background Counts) float64 {
	smoothed := (float64(background.Bad) + 1) / (float64(background.Answers) + 2)
	return (float64(n.Bad) + backgroundWeight*smoothed) / (float64(n.Answers) + backgroundWeight)
}

// logRatio returns the log-likelihood ratio of a bad share that exceeds the usual one
// against the usual one.
func logRatio(n Counts, usual, excess float64) float64 {
	raised := min(usual+excess, maxShare)
	if raised <= usual {
		return 0
	}
	good := float64(n.Answers - n.Bad)
	return float64(n.Bad)*math.Log(raised/usual) + good*math.Log((1-raised)/(1-usual))
}

// addAll adds the evidence of other scores.
func (s scores) addAll(other scores) {
	for key, targets := range other {
		if s[key] == nil {
			s[key] = make(map[tables.TargetID]score)
		}
		for id, added := range targets {
			s[key][id] = s[key][id].plus(added)
		}
	}
}

func (a score) plus(b score) score {
	a.Answers += b.Answers
	a.Bad += b.Bad
	for i := range a.ratios {
		a.ratios[i] += b.ratios[i]
	}
	return a
}

// Finding is a result of the sequential test.
type Finding struct {
	// Route is empty for all routes together.
	Route string
	// Recent is true for the last seconds, false for all since the order.
	Recent bool
	// Score is the log-likelihood ratio without the target that contributes most, and
	// Counts are the responses of the other targets.
	Score float64
	Counts
	// Doubt is the log-likelihood ratio with at most singleDoubt of that target.
	Doubt float64
}

// bad reports whether the finding condemns the version.
func (f Finding) bad() bool { return f.Score > badThreshold && f.Bad >= minBadAnswers }

// find returns the finding with the highest score among those of each stratum and of all.
// Findings with minBadAnswers come first.
func (s scores) find(recent bool) Finding {
	worst := Finding{Recent: recent, Doubt: math.Inf(-1)}
	all := make(map[tables.TargetID]score)
	for key, targets := range s {
		worst = worse(worst, judge(key.route, recent, targets))
		for id, n := range targets {
			all[id] = all[id].plus(n)
		}
	}
	return worse(worst, judge("", recent, all))
}

func worse(a, b Finding) Finding {
	doubt := max(a.Doubt, b.Doubt)
	f := strongest(a, b)
	f.Doubt = doubt
	return f
}

// strongest returns the finding with the higher score. One with minBadAnswers comes first.
func strongest(a, b Finding) Finding {
	if enough := b.Bad >= minBadAnswers; enough != (a.Bad >= minBadAnswers) {
		if enough && b.Score > 0 {
			return b
		}
		if a.Score > 0 {
			return a
		}
	}
	if b.Score > a.Score {
		return b
	}
	return a
}

// judge returns the finding of targets without the one that contributes most, for the
// excess that fits best.
func judge(route string, recent bool, targets map[tables.TargetID]score) Finding {
	best := Finding{Route: route, Recent: recent, Score: math.Inf(-1), Doubt: math.Inf(-1)}
	for i := range excesses {
		var total score
		var top score
		for _, n := range targets {
			total = total.plus(n)
			if n.ratios[i] > top.ratios[i] {
				top = n
			}
		}
		// The choice between the excesses costs their number.
		ratio := total.ratios[i] - top.ratios[i] - math.Log(float64(len(excesses)))
		best.Doubt = max(best.Doubt, ratio+min(top.ratios[i], singleDoubt))
		if ratio > best.Score {
			best.Score = ratio
			best.Counts = Counts{total.Answers - top.Answers, total.Bad - top.Bad}
		}
	}
	return best
}

// findings returns the results of the sequential test over the last seconds and since the
// order.
func (e *evidence) findings() (recent, all Finding) {
	latest, total := make(scores), make(scores)
	total.addAll(e.scores)
	for i, b := range e.buckets {
		total.addBucket(b, e.old)
		if i >= len(e.buckets)-1-recentBuckets {
			latest.addBucket(b, e.old)
		}
	}
	return latest.find(true), total.find(false)
}
