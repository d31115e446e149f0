package endpoint

import "sync"

// Suspension simulates a process that does not run for a while and then goes on with
// all its state. The zero value is not suspended. Its methods may be called
// concurrently.
type Suspension struct {
	mu sync.Mutex
	// ended is closed at the end. It is nil while the process runs.
	ended chan struct{}
}

// Begin suspends the process. It has no effect on a suspended one.
func (s *Suspension) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = make(chan struct{})
	}
}

// End lets the process run again. It has no effect on a running one.
func (s *Suspension) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		close(s.ended)
	}
	s.ended = nil
}

// Await blocks while the process is suspended, or until done is closed.
func (s *Suspension) Await(done <-chan struct{}) {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-done:
	}
}
