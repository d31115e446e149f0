package repeat

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxSuspects bounds the contents that are remembered.
	maxSuspects = 4096
	// crashLimit is the number of targets whose connection broke under a content
	// before it is refused.
	crashLimit = 3
	// suspectFor is how long a broken connection counts, and how long a content
	// is refused.
	suspectFor = 60 * time.Second
)

// Crashes finds requests that crash each target that runs them: the same
// content was running at several targets when their connections broke. One
// goroutine or lock owns it.
type Crashes struct {
	rows *simplelru.LRU[tables.Fingerprint, map[tables.TargetID]time.Time]
}

// NewCrashes returns an empty memory.
func NewCrashes() *Crashes {
	rows, err := simplelru.NewLRU[tables.Fingerprint, map[tables.TargetID]time.Time](maxSuspects, nil)
	if err != nil {
		panic("repeat: LRU of positive size refused: " + err.Error())
	}
	return &Crashes{rows: rows}
}

// Broke notes that the connection to a target broke under a content.
func (c *Crashes) Broke(now time.Time, content tables.Fingerprint, target tables.TargetID) {
	if content == 0 || target == "" {
		return
	}
	row, known := c.rows.Get(content)
	if !known {
		row = make(map[tables.TargetID]time.Time)
		c.rows.Add(content, row)
	}
	row[target] = now
}

// Ran notes that a content ran to its end, which clears it: connections also
// break for other reasons.
func (c *Crashes) Ran(content tables.Fingerprint) { c.rows.Remove(content) }

// Refuses reports whether a content has broken the connections of so many
// targets that it is sent to no further one.
func (c *Crashes) Refuses(now time.Time, content tables.Fingerprint) bool {
	row, known := c.rows.Get(content)
	if !known {
		return false
	}
	for target, at := range row {
		if now.Sub(at) > suspectFor {
			delete(row, target)
		}
	}
	return len(row) >= crashLimit
}
