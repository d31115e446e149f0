package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// minCanaries is the least number of canary targets, so that one faulty or slow one among
// them can be told from a bad version.
const minCanaries = 3

// targetList holds the targets of the service.
type targetList struct {
	versions map[tables.TargetID]tables.SoftwareVersion
	cold     map[tables.TargetID]time.Time
	// ranked lists the targets of the new version that are not leaving by the hash of
	// their ID, and rank their position in it. Every coordinator ranks them the same way.
	ranked []tables.TargetID
	rank   map[tables.TargetID]int
}

func newTargetList(targets []fleet.Target, to tables.SoftwareVersion) targetList {
	l := targetList{
		versions: make(map[tables.TargetID]tables.SoftwareVersion, len(targets)),
		cold:     make(map[tables.TargetID]time.Time),
		rank:     make(map[tables.TargetID]int),
	}
	for _, t := range targets {
		l.versions[t.ID] = t.Version
		if !t.ColdUntil.IsZero() {
			l.cold[t.ID] = t.ColdUntil
		}
		if t.Version == to && !t.Leaving {
			l.ranked = append(l.ranked, t.ID)
		}
	}
	slices.SortFunc(l.ranked, func(a, b tables.TargetID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	for i, id := range l.ranked {
		l.rank[id] = i
	}
	return l
}

// inSubset reports whether a target is among the given share of the new targets. Each of
// them then has the load of an old target, so that a fault under load shows.
func (l *targetList) inSubset(id tables.TargetID, share float64) bool {
	rank, known := l.rank[id]
	size := int(math.Ceil(share * float64(len(l.ranked))))
	return known && rank < max(size, minCanaries)
}

// isCold reports whether a request was sent within the start-up time of the target.
func (l *targetList) isCold(sentAt time.Time, id tables.TargetID) bool {
	return sentAt.Before(l.cold[id])
}
