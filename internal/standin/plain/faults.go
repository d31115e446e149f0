package plain

import (
	"bytes"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// handleCrash clears the in-memory state and records the running calls as
// failed. The records are kept.
func (s *Service) handleCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	for id, c := range s.calls {
		if c.progress == target.InProgress {
			s.recordFor(id).Progress = target.Failed
		}
	}
	s.reset()
}

// CrashOn makes the service crash at the start of each call whose body contains
// substring. An empty substring turns this off.
func (s *Service) CrashOn(substring string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = substring
}

func (s *Service) crashesOn(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && bytes.Contains(body, []byte(s.crashOn))
}

// FailRuns marks the next n calls that run to their end as failed, without an answer.
func (s *Service) FailRuns(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failRuns = n
}
