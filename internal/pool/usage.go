package pool

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// usage counts the tokens that were charged to each customer within the window.
type usage struct {
	window     time.Duration
	byCustomer map[tables.CustomerID][]tokenUse
}

type tokenUse struct {
	at     time.Time
	tokens int
	// grantor is the coordinator that granted the tokens; zero if it did not tell.
	grantor uint64
}

func newUsage(window time.Duration) *usage {
	return &usage{window: window, byCustomer: make(map[tables.CustomerID][]tokenUse)}
}

func (u *usage) add(id tables.CustomerID, use tokenUse) {
	u.byCustomer[id] = append(u.trim(use.at, id), use)
}

// remove undoes add for tokens that were not used.
func (u *usage) remove(id tables.CustomerID, use tokenUse) {
	uses := u.byCustomer[id]
	if i := slices.Index(uses, use); i >= 0 {
		u.byCustomer[id] = slices.Delete(uses, i, i+1)
	}
}

func (u *usage) trim(now time.Time, id tables.CustomerID) []tokenUse {
	uses := u.byCustomer[id]
	for len(uses) > 0 && now.Sub(uses[0].at) > u.window {
		uses = uses[1:]
	}
	return uses
}

func (u *usage) recent(now time.Time) map[tables.CustomerID]float64 {
	out := make(map[tables.CustomerID]float64, len(u.byCustomer))
	for id := range u.byCustomer {
		u.byCustomer[id] = u.trim(now, id)
		for _, entry := range u.byCustomer[id] {
			out[id] += float64(entry.tokens)
		}
	}
	return out
}
