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

// fakeEngine responds with the functions that the test sets, and counts its
// calls.
type fakeEngine struct {
	target.Engine
	mu            sync.Mutex
	generateCalls int
	resumes       []int
	cancels       int
	generate      func() (target.Stream, error)
	resume        func(offset int) (target.Stream, error)
	cancel        func() (target.Progress, error)
}

func (e *fakeEngine) Generate(context.Context, target.Generation) (target.Stream, error) {
	e.mu.Lock()
	e.generateCalls++
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

func (e *fakeEngine) counts() (generateCalls int, resumes []int, cancels int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generateCalls, append([]int(nil), e.resumes...), e.cancels
}

// fakeStream is a stream that returns its chunks and then err.
type fakeStream struct {
	chunks []target.Chunk
	err    error
}

// answer returns a stream of the tokens first to end-1, one per chunk, of an
// answer of the given total number of tokens. The stream then returns err.
func answer(first, end, total int, err error) *fakeStream {
	s := &fakeStream{err: err}
	for i := first; i < end; i++ {
		s.chunks = append(s.chunks, target.Chunk{Offset: i, Text: fmt.Sprint(i, " "), Tokens: 1, Final: i == total-1})
	}
	return s
}

func (s *fakeStream) Next(context.Context) (target.Chunk, error) {
	if len(s.chunks) == 0 {
		return target.Chunk{}, s.err
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *fakeStream) Close() error { return nil }

// channelStream is a stream whose chunks are received from a channel.
type channelStream chan target.Chunk

func (s channelStream) Next(ctx context.Context) (target.Chunk, error) {
	select {
	case c := <-s:
		return c, nil
	case <-ctx.Done():
		return target.Chunk{}, errReset
	}
}

func (s channelStream) Close() error { return nil }

// breakableStream is a stream that breaks once broken is closed.
type breakableStream struct {
	channelStream
	broken <-chan struct{}
}

func (s breakableStream) Next(ctx context.Context) (target.Chunk, error) {
	select {
	case c := <-s.channelStream:
		return c, nil
	case <-s.broken:
		return target.Chunk{}, errReset
	case <-ctx.Done():
		return target.Chunk{}, errReset
	}
}

var errReset = fmt.Errorf("%w: connection reset", target.ErrUnknown)

var errNoStream = fmt.Errorf("%w: unknown dispatch", target.ErrNotAdmitted)

// fakeDeps implements the dependencies of a dispatcher that owns one engine.
type fakeDeps struct {
	engine *fakeEngine
	plain  target.PlainService
	// otherEngine is the engine at every address but that of e1 in document; nil means
	// that engine is at every address.
	otherEngine *fakeEngine

	mu      sync.Mutex
	crashes []dispatcher.SuspectFingerprint
	records []peer.Record
	change  func(*config.Document)
}

func (d *fakeDeps) Plain(string, tables.ServiceID) target.PlainService    { return d.plain }
func (d *fakeDeps) Owner(tables.TargetID, tables.DomainID) tables.HostID  { return "h1" }
func (d *fakeDeps) TargetState(tables.TargetID) tables.HostState          { return tables.HostLive }
func (d *fakeDeps) Check(tables.Fingerprint) (refused, mustRunAlone bool) { return false, false }
func (d *fakeDeps) Dispatched(tables.ServiceID, int, time.Duration)       {}
func (d *fakeDeps) Ended(*tables.Request, peer.Finished, time.Time)       {}

func (d *fakeDeps) Engine(address string) target.Engine {
	if address != engineAddress && d.otherEngine != nil {
		return d.otherEngine
	}
	return d.engine
}

func (d *fakeDeps) RecordCrash(_ tables.TargetID, inFlight []dispatcher.SuspectFingerprint) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes = append(d.crashes, inFlight...)
	reported := make(chan struct{})
	close(reported)
	return reported
}

func (d *fakeDeps) Record(_ context.Context, r peer.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = append(d.records, r)
	return nil
}

func (d *fakeDeps) recorded() []peer.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]peer.Record(nil), d.records...)
}

func (d *fakeDeps) crashed() []dispatcher.SuspectFingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]dispatcher.SuspectFingerprint(nil), d.crashes...)
}

// engineAddress is the address of e1 in document.
const engineAddress = "127.0.0.1:1"

// document returns the configuration. change, if it is set, is applied to it.
func (d *fakeDeps) document() *config.Document {
	doc := &config.Document{
		Services: map[string]config.Service{"report": {Kind: config.ModelService, Model: "m"}},
		Targets:  map[string]config.Target{"e1": {Address: engineAddress, Services: []string{"report"}, WindowMax: 1}},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.change != nil {
		d.change(doc)
	}
	return doc
}

// configure changes the configuration.
func (d *fakeDeps) configure(change func(*config.Document)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.change = change
}

// fakeGate records the notifications that a dispatcher sends to its gate.
type fakeGate struct {
	mu       sync.Mutex
	received []int
	finished []peer.Finished
}

func (g *fakeGate) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.NotifyStarted, func(context.Context, *peer.Conn, peer.Started) (struct{}, error) {
		return struct{}{}, nil
	})
	peer.Handle(m, peer.NotifyChunk, func(_ context.Context, _ *peer.Conn, c peer.Chunk) (struct{}, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.received = append(g.received, c.Chunk.Offset)
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

func (g *fakeGate) outcomes() []peer.Finished {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]peer.Finished(nil), g.finished...)
}

func (g *fakeGate) offsets() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.received...)
}
