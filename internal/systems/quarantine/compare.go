package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// byIdentity orders reports of the same crash next to each other, latest first,
// so that compaction keeps the latest one. This makes the result of releases and
// merges independent of their order.
func byIdentity(a, b peer.TargetCrash) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Target, b.Target), b.Time.Compare(a.Time))
}

func byTime(a, b peer.TargetCrash) int {
	return cmp.Or(a.Time.Compare(b.Time), byIdentity(a, b))
}

// sameCrash reports whether a and b are reports of the same crash.
func sameCrash(a, b peer.TargetCrash) bool {
	return a.Request == b.Request && a.Target == b.Target
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// equalEntries reports whether two entries of the same fingerprint have the
// same crashes and release time.
func equalEntries(a, b peer.QuarantineEntry) bool {
	return a.Released.Equal(b.Released) && slices.EqualFunc(a.CrashedAt, b.CrashedAt, sameCrashAndTime)
}

func sameCrashAndTime(a, b peer.TargetCrash) bool {
	return sameCrash(a, b) && a.Time.Equal(b.Time)
}
