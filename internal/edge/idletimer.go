package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// errSilent is the cause of a send that was given up because its target sent
// nothing for too long.
var errSilent = errors.New("the target fell silent")

const (
	// minSilent is the shortest silence after which a target is given up on.
	minSilent = time.Second
	// firstSilence and gapSilence bound the silence as multiples of the time
	// expected until the first byte and of the longest pause between events.
	firstSilence = 6
	gapSilence   = 3
)

// silence cancels a send whose target sends nothing for too long. Only sends
// that may be repeated have one: for others an answer may still come, and a
// repeat could run twice.
type silence struct {
	mu     sync.Mutex
	timer  clockwork.Timer
	cancel context.CancelCauseFunc
}

// watchSilence starts the watch over a send whose first byte is due after d.
func watchSilence(clock clockwork.Clock, d time.Duration, cancel context.CancelCauseFunc) *silence {
	s := &silence{cancel: cancel}
	s.timer = clock.AfterFunc(d, func() { cancel(errSilent) })
	return s
}

// heard puts the end of the send off by d.
func (s *silence) heard(d time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Reset(d)
}

// stop ends the watch.
func (s *silence) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}
