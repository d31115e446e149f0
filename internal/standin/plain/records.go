package plain

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Records contains the counters of a service and its record of each call. They
// survive crashes of the service.
type Records struct {
	Calls map[tables.RequestID]Record
	// RunsByOperation counts the calls started, by operation.
	RunsByOperation map[string]int
	Crashes         int
}

// Record describes what a service received and did under one request ID.
type Record struct {
	// Dispatches counts the dispatches received; each one was either refused
	// (Refused) or started (Runs).
	Dispatches int
	Refused    int
	Runs       int
	// Tombstones counts the cancels received for a call that the service did not
	// know.
	Tombstones int
	Operation  string
	Body       []byte
	Progress   target.Progress
	Ended      time.Time
}

// recordFor returns the record of a request, creating it if necessary.
func (s *Service) recordFor(id tables.RequestID) *Record {
	r := s.records[id]
	if r == nil {
		r = &Record{}
		s.records[id] = r
	}
	return r
}

// Records returns a copy of the service's records.
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
