package retry

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxCrashEntries bounds the number of fingerprints kept.
	maxCrashEntries = 4096
	// A request is refused once the connections to crashLimit targets have
	// broken while they ran it.
	crashLimit = 3
	// crashTTL is how long a broken connection counts, and so how long a request
	// is refused.
	crashTTL = 60 * time.Second
)

// CrashDetector detects requests that crash every target that runs them:
// connections to several targets broke while they ran requests with the same
// fingerprint. It is not safe for concurrent use.
type CrashDetector struct {
	lostConnections *simplelru.LRU[tables.Fingerprint, map[tables.TargetID]time.Time]
}

// NewCrashDetector returns a detector without records.
func NewCrashDetector() *CrashDetector {
	entries, err := simplelru.NewLRU[tables.Fingerprint, map[tables.TargetID]time.Time](maxCrashEntries, nil)
	if err != nil {
		panic("retry: LRU of positive size refused: " + err.Error())
	}
	return &CrashDetector{lostConnections: entries}
}

// RecordConnectionLoss records that the connection to a target broke while it
// ran a request.
func (c *CrashDetector) RecordConnectionLoss(now time.Time, fingerprint tables.Fingerprint, target tables.TargetID) {
	if fingerprint == 0 || target == "" {
		return
	}
	targets, known := c.lostConnections.Get(fingerprint)
	if !known {
		targets = make(map[tables.TargetID]time.Time)
		c.lostConnections.Add(fingerprint, targets)
	}
	targets[target] = now
}

// RecordCompletion records that a request ran to completion. Its broken
// connections no longer count, since connections also break for other reasons.
func (c *CrashDetector) RecordCompletion(fingerprint tables.Fingerprint) {
	c.lostConnections.Remove(fingerprint)
}

// ShouldRefuse reports whether a request has broken the connections to so many
// targets that it must not be sent again.
func (c *CrashDetector) ShouldRefuse(now time.Time, fingerprint tables.Fingerprint) bool {
	targets, known := c.lostConnections.Get(fingerprint)
	if !known {
		return false
	}
	for target, at := range targets {
		if now.Sub(at) > crashTTL {
			delete(targets, target)
		}
	}
	return len(targets) >= crashLimit
}
