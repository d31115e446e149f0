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

// Service simulates one plain service. Its methods may be called concurrently.
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

// call is a call that was started.
type call struct {
	progress target.Progress
	answer   target.Response
	ended    time.Time
}

// answerBody is the JSON body that every operation returns.
type answerBody struct {
	DispatchID tables.RequestID `json:"dispatch_id"`
	Operation  string           `json:"operation"`
	BodyHash   string           `json:"body_hash"`
}

// ExpectedAnswer returns the body with which a service answers a completed call.
func ExpectedAnswer(id tables.RequestID, operation string, body []byte) []byte {
	data, err := json.Marshal(answerBody{DispatchID: id, Operation: operation, BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body))})
	if err != nil {
		panic(fmt.Sprintf("answer of %q: %v", id, err))
	}
	return data
}

// New returns a service that does not listen yet.
func New(opts Options) *Service {
	s := &Service{opts: opts.withDefaults(), records: make(map[tables.RequestID]*Record)}
	s.Process = endpoint.NewProcess(endpoint.ProcessOptions{
		Name: fmt.Sprintf("plain service %q", s.opts.ID), Clock: s.opts.Clock, Handler: s.handler(),
		RestartAfter: s.opts.RestartAfter, OnCrash: s.handleCrash,
	})
	s.reset()
	return s
}

// reset clears the in-memory state that a crash of the process loses.
func (s *Service) reset() {
	s.calls = make(map[tables.RequestID]*call)
	s.tombstones = make(map[tables.RequestID]bool)
}

// admit starts a call and returns it. If it refuses the call, it returns an
// error code.
func (s *Service) admit(id tables.RequestID, operation string, body []byte) (*call, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.recordFor(id)
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

// run waits for the duration of the operation and finishes the call. It returns
// false if the process crashed while the call was running.
func (s *Service) run(c *call, id tables.RequestID, operation string, body []byte) bool {
	incarnation := s.Incarnation()
	if d := s.opts.delay(operation); d > 0 {
		<-s.opts.Clock.After(d)
	}
	s.AwaitSuspension()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Incarnation() != incarnation {
		return false
	}
	s.finish(c, id, operation, body)
	return true
}

// finish stores the answer of a call, or marks the call as failed if FailRuns
// applies to it.
func (s *Service) finish(c *call, id tables.RequestID, operation string, body []byte) {
	c.progress = target.Completed
	c.answer = target.Response{Status: http.StatusOK, Body: ExpectedAnswer(id, operation, body)}
	if s.failRuns > 0 {
		s.failRuns--
		c.progress = target.Failed
		c.answer = target.Response{}
	}
	c.ended = s.opts.Clock.Now()
	rec := s.recordFor(id)
	rec.Progress = c.progress
	rec.Ended = c.ended
}

// cancel stores a tombstone, so that a call with this ID is refused if it arrives
// later, and returns the progress of the call. It does not stop a running call.
func (s *Service) cancel(id tables.RequestID) target.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tombstones[id] = true
	if c := s.calls[id]; c != nil {
		return c.progress
	}
	s.recordFor(id).Tombstones++
	return s.unknownProgress()
}

// unknownProgress returns the progress to report for an unknown call. After a
// crash the call may have run in an earlier incarnation, so the answer is
// NotKnown.
func (s *Service) unknownProgress() target.Progress {
	if s.Incarnation() > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// outcome returns the progress of a call and, until Retention has passed since
// its end, its answer.
func (s *Service) outcome(id tables.RequestID) target.OutcomeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[id]
	if c == nil {
		return target.OutcomeResponse{Progress: s.unknownProgress()}
	}
	if !c.ended.IsZero() && s.opts.Clock.Now().Sub(c.ended) >= s.opts.Retention {
		return target.OutcomeResponse{Progress: c.progress}
	}
	return target.OutcomeResponse{Progress: c.progress, Status: c.answer.Status, Body: c.answer.Body}
}
