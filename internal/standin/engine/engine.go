package engine

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Engine simulates one model engine. Its methods may be called concurrently.
type Engine struct {
	*endpoint.Process
	endpoint.Faults
	opts Options

	mu       sync.Mutex
	slowdown float64
	crashOn  string
	stepping bool
	// active contains the running and waiting dispatches in order of arrival.
	active      []*dispatch
	dispatches  map[tables.RequestID]*dispatch
	tombstones  map[tables.RequestID]bool
	cache       *cache
	loadHistory loadHistory
	order       orderState
	records     records
}

// dispatch is one admitted request.
type dispatch struct {
	generation target.Generation
	seed       string
	progress   target.Progress
	// totalTokens is the length of the answer; emittedTokens counts the tokens
	// generated so far.
	totalTokens, emittedTokens int
	prefilled                  bool
	promptTokens               int
	cachedTokens               int
	// lostInCrash is set when the engine crashes; streams of the dispatch are aborted.
	lostInCrash bool
	// changed is closed and replaced with every change of the dispatch.
	changed chan struct{}
}

func (d *dispatch) notifyReaders() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// New returns an engine that does not listen yet.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults(), slowdown: 1, records: newRecords()}
	e.Process = endpoint.NewProcess(endpoint.ProcessOptions{
		Name: fmt.Sprintf("engine %q", e.opts.ID), Clock: e.opts.Clock, Handler: e.handler(),
		RestartAfter: e.opts.RestartAfter, OnCrash: e.handleCrash,
	})
	e.reset()
	return e
}

// Options returns the options with defaults in place of zero values.
func (e *Engine) Options() Options { return e.opts }

// reset clears the in-memory state that a crash of the process loses.
func (e *Engine) reset() {
	e.active = nil
	e.stepping = false
	e.dispatches = make(map[tables.RequestID]*dispatch)
	e.tombstones = make(map[tables.RequestID]bool)
	e.cache = newCache(e.opts)
	e.order = orderState{}
	e.loadHistory = loadHistory{}
}

// admit starts a generation and returns its dispatch. If it refuses the
// generation, it returns an error code.
func (e *Engine) admit(g target.Generation) (*dispatch, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.records.recordFor(g.ID)
	rec.Dispatches++
	if e.tombstones[g.ID] {
		rec.Refused++
		return nil, target.CodeTombstoned
	}
	if e.dispatches[g.ID] != nil {
		rec.Refused++
		return nil, target.CodeDuplicate
	}
	if !e.order.serves(e.opts.Clock.Now(), g.Model, g.Adapter) {
		rec.Refused++
		rec.NotLoaded++
		rec.LastNotLoaded = e.opts.Clock.Now()
		return nil, target.CodeModelNotLoaded
	}
	d := &dispatch{
		generation:   g,
		seed:         answerSeed(g.ID, g.Prompt),
		progress:     target.InProgress,
		totalTokens:  answerLength(g.Prompt, g.MaxTokens),
		promptTokens: target.PromptTokens(g.Prompt),
		changed:      make(chan struct{}),
	}
	e.dispatches[g.ID] = d
	e.active = append(e.active, d)
	rec.addStart(g, e.opts.Clock.Now())
	e.recordLoad()
	e.startStepping()
	return d, ""
}

// cancel stops a dispatch that is in progress and returns the resulting
// progress. It also stores a tombstone, so that a dispatch with this ID is
// refused if it arrives later.
func (e *Engine) cancel(id tables.RequestID) target.Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tombstones[id] = true
	d := e.dispatches[id]
	if d == nil {
		e.records.recordFor(id).Tombstones++
		return e.unknownProgress()
	}
	if d.progress != target.InProgress {
		return d.progress
	}
	e.end(d, target.Cancelled)
	return target.Cancelled
}

// unknownProgress returns the progress to report for an unknown dispatch. After
// a crash the dispatch may have run in an earlier incarnation, so the answer is
// NotKnown.
func (e *Engine) unknownProgress() target.Progress {
	if e.Incarnation() > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// end finishes d with its final progress.
func (e *Engine) end(d *dispatch, progress target.Progress) {
	d.progress = progress
	e.records.addEnd(d, e.opts.Clock.Now())
	e.remove(d)
	e.recordLoad()
	d.notifyReaders()
}

func (e *Engine) remove(d *dispatch) {
	for i, other := range e.active {
		if other == d {
			e.active = append(e.active[:i:i], e.active[i+1:]...)
			return
		}
	}
}

func (e *Engine) recordLoad() {
	running := min(len(e.active), e.opts.BatchMax)
	e.loadHistory.add(e.opts.LoadLag, tables.LoadReport{
		At:          e.opts.Clock.Now(),
		Running:     running,
		Waiting:     len(e.active) - running,
		CacheTokens: e.cache.sizeTokens(),
	})
}

// step is one decode step of a batch.
type step struct {
	batch    []*dispatch
	duration time.Duration
}

// startStepping starts the goroutine that runs the decode steps, unless it is
// running.
func (e *Engine) startStepping() {
	if e.stepping {
		return
	}
	e.stepping = true
	go e.stepWhileActive(e.Incarnation())
}

// stepWhileActive runs decode steps until no dispatch is active or the engine
// has crashed.
func (e *Engine) stepWhileActive(incarnation int64) {
	for {
		s, ok := e.beginStep(incarnation)
		if !ok {
			return
		}
		<-e.opts.Clock.After(s.duration)
		e.AwaitSuspension()
		if e.endStep(incarnation, s) {
			e.Crash()
			return
		}
	}
}

// beginStep forms the next batch, prefills its new sequences and computes the
// duration of the step. It returns false if no dispatch is active or the engine
// has crashed since the given incarnation.
func (e *Engine) beginStep(incarnation int64) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Incarnation() != incarnation {
		return step{}, false
	}
	if len(e.active) == 0 {
		e.stepping = false
		return step{}, false
	}
	batch := append([]*dispatch(nil), e.active[:min(len(e.active), e.opts.BatchMax)]...)
	seconds := (e.opts.Step + time.Duration(len(batch)-1)*e.opts.StepPerSequence).Seconds()
	for _, d := range batch {
		seconds += float64(e.prefill(d)) / e.opts.PrefillTokensPerSecond
	}
	return step{batch: batch, duration: time.Duration(seconds * e.slowdown * float64(time.Second))}, true
}

// prefill stores the prompt of a new sequence in the cache and returns the
// number of tokens that were not cached. It returns 0 if d is prefilled already.
func (e *Engine) prefill(d *dispatch) int {
	if d.prefilled {
		return 0
	}
	d.prefilled = true
	g := d.generation
	lookup := e.cache.lookupAndStore(e.opts.Clock.Now(), prefix.Chain(target.PrefixScope(g.Model, g.Adapter), []byte(g.Prompt)))
	d.cachedTokens = lookup.cachedTokens
	computed := d.promptTokens - d.cachedTokens
	e.records.addPrefill(d, computed, lookup.recomputedTokens)
	e.recordLoad()
	return computed
}

// endStep emits one token for each sequence of the batch. At the first sequence
// that crashes the engine it stops and returns true. It has no effect if the
// engine has crashed since the given incarnation.
func (e *Engine) endStep(incarnation int64, s step) (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Incarnation() != incarnation {
		return false
	}
	for _, d := range s.batch {
		if e.crashesOn(d) {
			return true
		}
		e.emit(d)
	}
	return false
}

// emit generates the next answer token of d and ends d after the last one. It
// has no effect on a dispatch that has ended.
func (e *Engine) emit(d *dispatch) {
	if d.progress != target.InProgress {
		return
	}
	d.emittedTokens++
	e.records.addToken(d)
	if d.emittedTokens == d.totalTokens {
		e.end(d, target.Completed)
		return
	}
	d.notifyReaders()
}
