package relay

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
)

// Guards against a goroutine or an entry for each end that outlives its probe.
func TestManyEndsAtOnceLeaveNothingBehind(t *testing.T) {
	const (
		rounds = 5
		ends   = 200
		limit  = 5 * time.Second
	)
	r, _ := newUnframedRouter(answering, answerend.Accepted)
	before := runtime.NumGoroutine()
	for range rounds {
		var reads sync.WaitGroup
		for range ends {
			reads.Go(func() {
				if _, err := readAnswer(t, r); err != nil {
					t.Error(err)
				}
			})
		}
		reads.Wait()
	}
	for deadline := time.Now().Add(limit); runtime.NumGoroutine() > before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	r.ends.mu.Lock()
	defer r.ends.mu.Unlock()
	if n := runtime.NumGoroutine(); n > before || len(r.ends.running) > 0 {
		t.Errorf("%d goroutines after %d, %d entries", n, before, len(r.ends.running))
	}
}
