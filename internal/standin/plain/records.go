package plain

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Records are a service's own counts over all its incarnations.
type Records struct {
	Calls map[tables.RequestID]Record
	// RunsByOperation counts the calls that started.
	RunsByOperation map[string]int
	Crashes         int
}

// Record is what a service knows of one call.
type Record struct {
	// Dispatches counts the sends that arrived, Refused those of them that
	// started nothing, and Runs those that started.
	Dispatches int
	Refused    int
	Runs       int
	// Tombstones counts the cancels that came before a send.
	Tombstones int
	Operation  string
	Body       []byte
	Progress   target.Progress
	Ended      time.Time
}

func (s *Service) record(id tables.RequestID) *Record {
	r := s.records[id]
	if r == nil {
		r = &Record{}
		s.records[id] = r
	}
	return r
}

// Records returns a copy of the service's counts.
func (s *Service) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Records{
		Calls:           make(map[tables.RequestID]Record, len(s.records)),
		RunsByOperation: make(map[string]int),
		Crashes:         s.crashes,
	}
	for id, r := range s.records {
		out.Calls[id] = *r
		out.RunsByOperation[r.Operation] += r.Runs
	}
	delete(out.RunsByOperation, "")
	return out
}
