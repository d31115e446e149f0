package retry

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxRefusalEntries bounds the number of refusals kept.
	maxRefusalEntries = 8192
	// refusalTTL is how long after a refusal a retry is recognized.
	refusalTTL = 15 * time.Second
	// earlyTolerance is how much earlier than advised a retry may arrive.
	earlyTolerance = 50 * time.Millisecond
)

// Refusals records refused requests and when they may be retried. It is not
// safe for concurrent use.
type Refusals struct {
	refusals *simplelru.LRU[tables.Fingerprint, refusal]
}

type refusal struct {
	refusedAt time.Time
	retryAt   time.Time
}

// NewRefusals returns Refusals without records.
func NewRefusals() *Refusals {
	entries, err := simplelru.NewLRU[tables.Fingerprint, refusal](maxRefusalEntries, nil)
	if err != nil {
		panic("retry: LRU of positive size refused: " + err.Error())
	}
	return &Refusals{refusals: entries}
}

// Record records that a request was refused and may be retried after wait.
func (r *Refusals) Record(now time.Time, fingerprint tables.Fingerprint, wait time.Duration) {
	if fingerprint != 0 {
		r.refusals.Add(fingerprint, refusal{now, now.Add(wait)})
	}
}

// CheckRetry reports whether a request is a retry after a refusal, and whether
// the caller waited for the advised time. It removes the record of the refusal.
func (r *Refusals) CheckRetry(now time.Time, fingerprint tables.Fingerprint) (retried, waited bool) {
	entry, known := r.refusals.Get(fingerprint)
	if !known || fingerprint == 0 || now.Sub(entry.refusedAt) > refusalTTL {
		return false, false
	}
	r.refusals.Remove(fingerprint)
	return true, !now.Before(entry.retryAt.Add(-earlyTolerance))
}
