package repeat

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 8192
	// rememberFor is how long a refused caller may take to come back.
	rememberFor = 15 * time.Second
	// earlyAllowance is how much sooner than advised a caller may come.
	earlyAllowance = 50 * time.Millisecond
)

// Refusals remembers the requests that were refused and when they may come
// back. One goroutine or lock owns it.
type Refusals struct {
	rows *simplelru.LRU[tables.Fingerprint, refusal]
}

type refusal struct {
	at    time.Time
	again time.Time
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals {
	rows, err := simplelru.NewLRU[tables.Fingerprint, refusal](maxRefusals, nil)
	if err != nil {
		panic("repeat: LRU of positive size refused: " + err.Error())
	}
	return &Refusals{rows: rows}
}

// Add notes that a request was refused and may come back after a wait.
func (r *Refusals) Add(now time.Time, content tables.Fingerprint, wait time.Duration) {
	if content != 0 {
		r.rows.Add(content, refusal{now, now.Add(wait)})
	}
}

// Returns reports whether a request was refused before, and whether it has
// waited as it was told.
func (r *Refusals) Returns(now time.Time, content tables.Fingerprint) (again, waited bool) {
	row, known := r.rows.Get(content)
	if !known || content == 0 || now.Sub(row.at) > rememberFor {
		return false, false
	}
	r.rows.Remove(content)
	return true, !now.Before(row.again.Add(-earlyAllowance))
}
