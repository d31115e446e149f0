package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// byIdentity orders reports of the same crash next to each other, the latest
// first. The latest stands for the crash: then dropping what a release covers
// and joining reports give the same in any order.
func byIdentity(a, b peer.TargetCrash) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Target, b.Target), b.Time.Compare(a.Time))
}

func byTime(a, b peer.TargetCrash) int {
	return cmp.Or(a.Time.Compare(b.Time), byIdentity(a, b))
}

// equal reports whether a and b tell of the same crash.
func equal(a, b peer.TargetCrash) bool {
	return a.Request == b.Request && a.Target == b.Target
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// same reports whether two entries of the same content say the same.
func same(a, b peer.QuarantineEntry) bool {
	return a.Released.Equal(b.Released) && slices.EqualFunc(a.CrashedAt, b.CrashedAt, identical)
}

func identical(a, b peer.TargetCrash) bool {
	return equal(a, b) && a.Time.Equal(b.Time)
}
