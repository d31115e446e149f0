package rollout

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// slowFactor is the ratio of the time that a response took to the expected one above
	// which it counts as slow.
	slowFactor = 2.5
	// bucketLength is the time over which the new version is compared with the old one.
	bucketLength = 500 * time.Millisecond
	// recentBuckets is the length of the short window of the sequential test.
	recentBuckets = int(2 * time.Second / bucketLength)
	// maxBuckets bounds the buckets that are kept. They are compared with all that is known
	// of the old version by now, since that is little at the begin of an order.
	maxBuckets = int(30 * time.Second / bucketLength)
)

// Kind is what is judged about a response. Each is judged apart: slow responses of the old
// version must not hide failures of the new one, and gaps are known only at the end.
type Kind uint8

// Kinds of judgements.
const (
	// FirstByte judges how long the first byte of a response took.
	FirstByte Kind = iota
	// EventGap judges the mean gap between the events of a stream.
	EventGap
	// Failure judges whether a response failed.
	Failure
)

// Answer is a response that is judged.
type Answer struct {
	Route   string
	Kind    Kind
	Target  tables.TargetID
	Version tables.SoftwareVersion
	// SentAt is when the request was granted the target.
	SentAt time.Time
	// Failed is true for a status of 500 and above from the target.
	Failed bool
	// Ratio is the time that the response took, relative to what was expected of a target
	// of usual speed; zero if that is unknown.
	Ratio float64
}

// stratum is a group of responses that are compared with each other.
type stratum struct {
	route string
	kind  Kind
}

// cell counts the responses of a stratum.
type cell struct {
	old Counts
	new map[tables.TargetID]*Counts
	// oldTimes and newTimes are the times that they took.
	oldTimes times
	newTimes map[tables.TargetID]*times
}

// bucket counts the responses of a bucketLength.
type bucket struct {
	index int64
	cells map[stratum]*cell
}

// evidence holds the judged responses since the order.
type evidence struct {
	// buckets are the latest ones, the current last. The scores hold earlier ones.
	buckets []bucket
	scores  scores
	// old are the counts of all old targets since the order, by stratum. They are the
	// background for buckets with few old responses.
	old map[stratum]Counts
	// warm counts the responses of new targets outside their start-up time, by route.
	warm     map[string]int
	oldTotal Counts
	newTotal Counts
	speeds   speeds
}

func newEvidence() evidence {
	return evidence{scores: make(scores), old: make(map[stratum]Counts), warm: make(map[string]int), speeds: newSpeeds()}
}

func (n *Counts) add(bad bool) {
	n.Answers++
	if bad {
		n.Bad++
	}
}

// cell returns the cell of a stratum in the current bucket.
func (e *evidence) cell(now time.Time, s stratum) *cell {
	e.roll(now)
	cells := e.buckets[len(e.buckets)-1].cells
	if cells[s] == nil {
		cells[s] = &cell{new: make(map[tables.TargetID]*Counts), newTimes: make(map[tables.TargetID]*times)}
	}
	return cells[s]
}

// roll begins a bucket if the time of the last one is over, and moves the oldest to the
// scores.
func (e *evidence) roll(now time.Time) {
	index := now.UnixNano() / int64(bucketLength)
	if last := len(e.buckets) - 1; last < 0 || e.buckets[last].index < index {
		if last >= 0 {
			e.close(e.buckets[last])
		}
		e.buckets = append(e.buckets, bucket{index, make(map[stratum]*cell)})
	}
	for e.buckets[0].index < index-int64(maxBuckets) {
		e.scores.addBucket(e.buckets[0], e.old)
		e.buckets = e.buckets[1:]
	}
}

// close adds a complete bucket to what is known since the order.
func (e *evidence) close(b bucket) {
	comparable := b.oldTimes() >= minOldTimes
	for s, c := range b.cells {
		if comparable {
			e.speeds.add(s, c)
		}
		n := e.old[s]
		n.Answers += c.old.Answers
		n.Bad += c.old.Bad
		e.old[s] = n
	}
}

func (c *cell) addTime(a Answer, isNew bool) {
	if !isNew {
		c.oldTimes.add(a.Ratio)
		return
	}
	if c.newTimes[a.Target] == nil {
		c.newTimes[a.Target] = &times{}
	}
	c.newTimes[a.Target].add(a.Ratio)
}

// IsSlow reports whether a response is slow that took ratio times the expected time.
func IsSlow(ratio float64) bool { return ratio > slowFactor }

// RecordAnswer records a response that is judged.
func (c *Controller) RecordAnswer(now time.Time, a Answer) {
	if c.phase.Ended() || c.excluded[a.Version] {
		return
	}
	c.activity(a.Target).answeredAt = now
	cold := c.targets.isCold(a.SentAt, a.Target)
	timed := a.Ratio > 0 && !cold && !a.Failed
	slow := timed && IsSlow(a.Ratio)
	isNew := a.Version == c.order.To
	if a.Kind == FirstByte || a.Failed {
		c.evidence.cell(now, stratum{a.Route, Failure}).add(a.Target, isNew, a.Failed)
	}
	if timed {
		cell := c.evidence.cell(now, stratum{a.Route, a.Kind})
		cell.add(a.Target, isNew, slow)
		cell.addTime(a, isNew)
	}
	total := &c.evidence.oldTotal
	if isNew {
		total = &c.evidence.newTotal
		c.used.Bad += int64(count(a.Failed || slow))
		c.evidence.warm[a.Route] += count(a.Kind == FirstByte && !cold)
	}
	total.Answers += count(a.Kind == FirstByte)
	total.Bad += count(a.Failed || slow)
}

// add counts a response.
func (c *cell) add(target tables.TargetID, isNew, bad bool) {
	if !isNew {
		c.old.add(bad)
		return
	}
	if c.new[target] == nil {
		c.new[target] = &Counts{}
	}
	c.new[target].add(bad)
}
