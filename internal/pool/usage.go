package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// usage counts the tokens of each customer in the last seconds.
type usage struct {
	window time.Duration
	rows   map[tables.CustomerID][]use
}

type use struct {
	at     time.Time
	tokens int
}

func newUsage(window time.Duration) *usage {
	return &usage{window: window, rows: make(map[tables.CustomerID][]use)}
}

func (u *usage) add(now time.Time, id tables.CustomerID, tokens int) {
	u.rows[id] = append(u.trim(now, id), use{now, tokens})
}

func (u *usage) trim(now time.Time, id tables.CustomerID) []use {
	row := u.rows[id]
	for len(row) > 0 && now.Sub(row[0].at) > u.window {
		row = row[1:]
	}
	return row
}

func (u *usage) recent(now time.Time) map[tables.CustomerID]float64 {
	out := make(map[tables.CustomerID]float64, len(u.rows))
	for id := range u.rows {
		u.rows[id] = u.trim(now, id)
		for _, entry := range u.rows[id] {
			out[id] += float64(entry.tokens)
		}
	}
	return out
}
