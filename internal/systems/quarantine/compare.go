package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

func compare(a, b peer.TargetCrash) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Target, b.Target))
}

func equal(a, b peer.TargetCrash) bool {
	return compare(a, b) == 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// same reports whether two entries of the same content say the same.
func same(a, b peer.QuarantineEntry) bool {
	return a.Released.Equal(b.Released) && slices.EqualFunc(a.CrashedAt, b.CrashedAt, equal)
}
