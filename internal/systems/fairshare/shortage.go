package fairshare

import "time"

const (
	// minBacklog is the work in the queue, as the time that the whole pool needs for it, from
	// which there is too little capacity. Callers expect the first byte within a few hundred
	// milliseconds; a clump of arrivals below this delays them little.
	minBacklog = 50 * time.Millisecond
	// clearedBacklog is the work in the queue below which the pool keeps up.
	clearedBacklog = 10 * time.Millisecond
	// recoveryTime is how long the pool must keep up until the shortage ends. It exceeds the
	// shortest Retry-After, so that a shortage does not end between a refusal and the retry.
	recoveryTime = time.Second
)

// shortage tells whether there is too little capacity. The zero value is none.
type shortage struct {
	active bool
	// keepsUpSince is when the backlog fell below clearedBacklog; zero if it has not.
	keepsUpSince time.Time
}

// observe records the work that is left in the queue after a scheduling pass.
func (s *shortage) observe(now time.Time, backlog time.Duration) {
	switch {
	case backlog >= minBacklog:
		s.active, s.keepsUpSince = true, time.Time{}
	case backlog >= clearedBacklog:
		s.keepsUpSince = time.Time{}
	case s.keepsUpSince.IsZero():
		s.keepsUpSince = now
	case now.Sub(s.keepsUpSince) >= recoveryTime:
		s.active = false
	}
}
