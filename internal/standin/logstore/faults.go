package logstore

import "time"

// faults are the switches of a Store.
type faults struct {
	down         bool
	delay        time.Duration
	loseAnswers  int
	loseRequests int
}

// plan is what happens to one admitted append.
type plan struct {
	delay       time.Duration
	loseAnswer  bool
	loseRequest bool
}

func (f *faults) nextAppend() plan {
	p := plan{delay: f.delay}
	switch {
	case f.loseAnswers > 0:
		f.loseAnswers--
		p.loseAnswer = true
	case f.loseRequests > 0:
		f.loseRequests--
		p.loseRequest = true
	}
	return p
}

// SetDown starts or ends an outage: every call fails and has no effect. Reads
// that wait fail at once.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	for _, st := range s.streams {
		st.wake()
	}
}

// SetDelay makes every later call take d; an append takes effect after half
// of it.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// LoseRequests makes the next n appends get lost without effect or answer.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// SetRetention changes how long a record is kept; zero keeps all records.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Retention = d
}
