package plain

import (
	"bytes"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// forget loses everything in memory in a crash; the records stay.
func (s *Service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	for id, c := range s.calls {
		if c.progress == target.InProgress {
			s.record(id).Progress = target.Failed
		}
	}
	s.reset()
}

// CrashOn makes the service crash when it starts a call whose body contains
// part; an empty part ends that.
func (s *Service) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = part
}

func (s *Service) crashesOn(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && bytes.Contains(body, []byte(s.crashOn))
}

// FailRuns makes the next n calls fail at the end of their run.
func (s *Service) FailRuns(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failRuns = n
}
