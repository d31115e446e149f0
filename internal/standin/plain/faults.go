package plain

import (
	"bytes"
	"errors"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Crash ends the process: connections are cut and refused, and everything in
// memory is lost. With Options.RestartAfter it restarts by itself.
func (s *Service) Crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.incarnation++
	s.crashes++
	for id, c := range s.calls {
		if c.progress == target.InProgress {
			s.record(id).Progress = target.Failed
		}
	}
	s.reset()
	ep := s.endpoint
	s.mu.Unlock()
	if ep != nil {
		ep.Down()
	}
	if s.opts.RestartAfter > 0 {
		s.opts.Clock.AfterFunc(s.opts.RestartAfter, s.restartBySelf)
	}
}

func (s *Service) restartBySelf() {
	if err := s.Restart(); err != nil && !errors.Is(err, endpoint.ErrClosed) {
		panic(err.Error())
	}
}

// Restart starts the process again at the same address, with empty memory.
func (s *Service) Restart() error {
	s.mu.Lock()
	wasDown := s.down
	s.down = false
	ep := s.endpoint
	s.mu.Unlock()
	if !wasDown || ep == nil {
		return nil
	}
	return ep.Up()
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

// GoSilent makes every connection that is open now deliver nothing more, while
// it stays open; new connections work. It needs Listen.
func (s *Service) GoSilent() {
	if ep := s.listening(); ep != nil {
		ep.Silence()
	}
}

// LoseSends makes the next n calls vanish before the service sees them.
func (s *Service) LoseSends(n int) { s.faults.LoseSends(n) }

// LoseAnswers makes the next n calls run while their connection is cut.
func (s *Service) LoseAnswers(n int) { s.faults.LoseAnswers(n) }

// Lost returns how many sends and how many answers were lost.
func (s *Service) Lost() (sends, answers int) { return s.faults.Lost() }
