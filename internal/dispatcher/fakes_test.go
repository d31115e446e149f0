package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// fakeEngine answers with what the test sets and counts its calls.
type fakeEngine struct {
	target.Engine
	mu        sync.Mutex
	generates int
	resumes   []int
	cancels   int
	generate  func() (target.Stream, error)
	resume    func(offset int) (target.Stream, error)
	cancel    func() (target.Progress, error)
}

func (e *fakeEngine) Generate(context.Context, target.Generation) (target.Stream, error) {
	e.mu.Lock()
	e.generates++
	e.mu.Unlock()
	return e.generate()
}

func (e *fakeEngine) Resume(_ context.Context, _ tables.RequestID, offset int) (target.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes = append(e.resumes, offset)
	return e.resume(offset)
}

func (e *fakeEngine) Cancel(context.Context, tables.RequestID) (target.Progress, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
	return e.cancel()
}

func (e *fakeEngine) counts() (generates int, resumes []int, cancels int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generates, append([]int(nil), e.resumes...), e.cancels
}

// words is a stream of one-token chunks that ends with err after them.
type words struct {
	chunks []target.Chunk
	err    error
}

// answer returns the tokens from a to b of an answer of whole tokens.
func answer(a, b, whole int, err error) *words {
	w := &words{err: err}
	for i := a; i < b; i++ {
		w.chunks = append(w.chunks, target.Chunk{Offset: i, Text: fmt.Sprint(i, " "), Tokens: 1, Final: i == whole-1})
	}
	return w
}

func (w *words) Next(context.Context) (target.Chunk, error) {
	if len(w.chunks) == 0 {
		return target.Chunk{}, w.err
	}
	c := w.chunks[0]
	w.chunks = w.chunks[1:]
	return c, nil
}

func (w *words) Close() error { return nil }

// live is a stream whose chunks come from a channel.
type live chan target.Chunk

func (l live) Next(ctx context.Context) (target.Chunk, error) {
	select {
	case c := <-l:
		return c, nil
	case <-ctx.Done():
		return target.Chunk{}, errReset
	}
}

func (l live) Close() error { return nil }

var errReset = fmt.Errorf("%w: connection reset", target.ErrUnknown)

var errNoStream = fmt.Errorf("%w: unknown dispatch", target.ErrNotAdmitted)

// fakeSite is the dispatcher's surroundings: one engine that it owns.
type fakeSite struct {
	engine *fakeEngine

	mu      sync.Mutex
	crashes []dispatcher.Suspect
	records []peer.Record
}

func (s *fakeSite) Engine(string) target.Engine                          { return s.engine }
func (s *fakeSite) Plain(string, tables.ServiceID) target.Plain          { return nil }
func (s *fakeSite) Owner(tables.TargetID, tables.DomainID) tables.HostID { return "h1" }
func (s *fakeSite) TargetState(tables.TargetID) tables.HostState         { return tables.HostLive }
func (s *fakeSite) Check(tables.Fingerprint) (refused, alone bool)       { return false, false }
func (s *fakeSite) Dispatched(tables.ServiceID, int, time.Duration)      {}
func (s *fakeSite) Ended(*tables.Request, peer.Finished, time.Time)      {}

func (s *fakeSite) Crashed(_ tables.TargetID, inFlight []dispatcher.Suspect) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, inFlight...)
	told := make(chan struct{})
	close(told)
	return told
}

func (s *fakeSite) Record(_ context.Context, r peer.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, r)
	return nil
}

func (s *fakeSite) recorded() []peer.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]peer.Record(nil), s.records...)
}

func (s *fakeSite) crashed() []dispatcher.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]dispatcher.Suspect(nil), s.crashes...)
}

func document() *config.Document {
	return &config.Document{
		Services: map[string]config.Service{"report": {Kind: config.ModelService, Model: "m"}},
		Targets:  map[string]config.Target{"e1": {Address: "127.0.0.1:1", Services: []string{"report"}, WindowMax: 1}},
	}
}

// gateSide collects what a dispatcher tells its gate.
type gateSide struct {
	mu       sync.Mutex
	tokens   []int
	finished []peer.Finished
}

func (g *gateSide) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.NotifyStarted, func(context.Context, *peer.Conn, peer.Started) (struct{}, error) {
		return struct{}{}, nil
	})
	peer.Handle(m, peer.NotifyChunk, func(_ context.Context, _ *peer.Conn, c peer.Chunk) (struct{}, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tokens = append(g.tokens, c.Chunk.Offset)
		return struct{}{}, nil
	})
	peer.Handle(m, peer.NotifyFinished, func(_ context.Context, _ *peer.Conn, f peer.Finished) (struct{}, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.finished = append(g.finished, f)
		return struct{}{}, nil
	})
	return m
}

func (g *gateSide) ends() []peer.Finished {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]peer.Finished(nil), g.finished...)
}

func (g *gateSide) offsets() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.tokens...)
}
