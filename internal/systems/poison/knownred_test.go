//go:build knownred

package poison_test

import (
	"testing"
	"time"
)

func TestPartOnWhichAllOfAFewTargetsCrashBeforeTheHeader(t *testing.T) {
	playLoad(t, loadConfig{targets: 3, customers: 5, sessions: 40, requestsPerSecond: 40, badParts: 1, badPerSecond: 1, headerless: true, seconds: 60})
}

func TestSoundRequestsAreServedAfterAllTargetsResetBesideOneThatCrashesTargets(t *testing.T) {
	load := repeatedLoad{targets: 12, requestsPerSecond: 150, hotShare: 0.1, downFor: 8 * time.Second, hostsDieAfter: 3}
	for seed := range uint64(4) {
		if r := playRepeated(seed, load); float64(r.soundRefused)/float64(r.sound) > 0.001 {
			t.Errorf("seed %d: %d of %d sound requests were refused", seed, r.soundRefused, r.sound)
		}
	}
}
