//go:build knownred

package watch

import (
	"testing"
	"time"
)

// Guards against an answer of the store from before a stall of the process that counts as one after it.
func TestReadThatBeganBeforeAStallConfirmsNothingAfterIt(t *testing.T) {
	w := newReader(t, &pagedStore{})
	begun := w.clock.Now().Add(-2 * time.Second)
	resumed := w.clock.Now()
	w.recordRead(Configs, begun)
	if w.UpdatedSince(resumed) {
		t.Error("a read that began 2 s before the process resumed confirms the targets after that")
	}
}
