package logstore

import "time"

// faults contains the faults that a Store injects.
type faults struct {
	down         bool
	delay        time.Duration
	loseAnswers  int
	loseRequests int
}

// appendFault describes the faults of one admitted append.
type appendFault struct {
	delay       time.Duration
	loseAnswer  bool
	loseRequest bool
}

// takeAppendFault returns the faults of the next append. It decrements loseAnswers
// or, if that is zero, loseRequests.
func (f *faults) takeAppendFault() appendFault {
	next := appendFault{delay: f.delay}
	switch {
	case f.loseAnswers > 0:
		f.loseAnswers--
		next.loseAnswer = true
	case f.loseRequests > 0:
		f.loseRequests--
		next.loseRequest = true
	}
	return next
}

// SetDown starts or ends an outage. During an outage new appends and all reads
// fail with an error that wraps ports.ErrUnavailable. Reads that wait for a
// record fail at once. An append admitted before the outage still takes effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	for _, st := range s.streams {
		st.notifyReaders()
	}
}

// SetDelay delays every later read and every later admitted append by d. An
// append takes effect after half of the delay.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the answers to the next n admitted appends get lost: the
// append takes effect, and its caller receives ports.ErrUnknown.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// LoseRequests makes the next n admitted appends get lost: the append has no
// effect, and its caller receives ports.ErrUnknown. Appends whose answer is lost
// by LoseAnswers are not counted.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// SetRetention changes the retention time of records. Zero keeps all records.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Retention = d
}
