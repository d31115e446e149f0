package plain

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Service is one plain service. Its methods may be called concurrently.
type Service struct {
	*endpoint.Process
	endpoint.Faults
	opts Options

	mu         sync.Mutex
	crashOn    string
	failRuns   int
	calls      map[tables.RequestID]*call
	tombstones map[tables.RequestID]bool
	records    map[tables.RequestID]*Record
	crashes    int
}

// call is one call that started.
type call struct {
	progress target.Progress
	answer   target.Response
	ended    time.Time
}

// answerBody is the JSON answer of every operation.
type answerBody struct {
	DispatchID tables.RequestID `json:"dispatch_id"`
	Operation  string           `json:"operation"`
	BodyHash   string           `json:"body_hash"`
}

// ExpectedAnswer returns the answer of a service to a call.
func ExpectedAnswer(id tables.RequestID, operation string, body []byte) []byte {
	data, err := json.Marshal(answerBody{DispatchID: id, Operation: operation, BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body))})
	if err != nil {
		panic(fmt.Sprintf("answer of %q: %v", id, err))
	}
	return data
}

// New returns a service that has no address yet.
func New(opts Options) *Service {
	s := &Service{opts: opts.withDefaults(), records: make(map[tables.RequestID]*Record)}
	s.Process = endpoint.NewProcess(endpoint.ProcessOptions{
		Name: fmt.Sprintf("plain service %q", s.opts.ID), Clock: s.opts.Clock, Handler: s.handler(),
		RestartAfter: s.opts.RestartAfter, Forget: s.forget,
	})
	s.reset()
	return s
}

// reset forgets everything that a process keeps in memory.
func (s *Service) reset() {
	s.calls = make(map[tables.RequestID]*call)
	s.tombstones = make(map[tables.RequestID]bool)
}

// admit starts a call, or refuses it with a code.
func (s *Service) admit(id tables.RequestID, operation string, body []byte) (*call, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.record(id)
	rec.Dispatches++
	if s.tombstones[id] {
		rec.Refused++
		return nil, target.CodeTombstoned
	}
	if s.calls[id] != nil {
		rec.Refused++
		return nil, target.CodeDuplicate
	}
	c := &call{progress: target.InProgress}
	s.calls[id] = c
	rec.Runs++
	rec.Operation = operation
	rec.Body = body
	rec.Progress = target.InProgress
	return c, ""
}

// run waits for the operation to take its time and finishes the call. It
// returns false when the process crashed meanwhile.
func (s *Service) run(c *call, id tables.RequestID, operation string, body []byte) bool {
	incarnation := s.Incarnation()
	if d := s.opts.delay(operation); d > 0 {
		<-s.opts.Clock.After(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Incarnation() != incarnation {
		return false
	}
	s.finish(c, id, operation, body)
	return true
}

func (s *Service) finish(c *call, id tables.RequestID, operation string, body []byte) {
	c.progress = target.Completed
	c.answer = target.Response{Status: http.StatusOK, Body: ExpectedAnswer(id, operation, body)}
	if s.failRuns > 0 {
		s.failRuns--
		c.progress = target.Failed
		c.answer = target.Response{}
	}
	c.ended = s.opts.Clock.Now()
	rec := s.record(id)
	rec.Progress = c.progress
	rec.Ended = c.ended
}

// cancel leaves a tombstone and returns the progress of a call.
func (s *Service) cancel(id tables.RequestID) target.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tombstones[id] = true
	if c := s.calls[id]; c != nil {
		return c.progress
	}
	s.record(id).Tombstones++
	return s.unknownProgress()
}

// unknownProgress is the word on a call that the service has no memory of:
// after a restart it cannot tell what ran before.
func (s *Service) unknownProgress() target.Progress {
	if s.Incarnation() > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// outcome returns what is kept of a call.
func (s *Service) outcome(id tables.RequestID) target.OutcomeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[id]
	if c == nil {
		return target.OutcomeResponse{Progress: s.unknownProgress()}
	}
	if !c.ended.IsZero() && s.opts.Clock.Now().Sub(c.ended) >= s.opts.KeepFor {
		return target.OutcomeResponse{Progress: c.progress}
	}
	return target.OutcomeResponse{Progress: c.progress, Status: c.answer.Status, Body: c.answer.Body}
}
