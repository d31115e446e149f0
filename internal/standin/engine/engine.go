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

// Engine is one model engine. Its methods may be called concurrently.
type Engine struct {
	*endpoint.Process
	endpoint.Faults
	opts Options

	mu       sync.Mutex
	straggle float64
	crashOn  string
	stepping bool
	// active holds the sequences in order of arrival.
	active     []*dispatch
	dispatches map[tables.RequestID]*dispatch
	tombstones map[tables.RequestID]bool
	cache      *cache
	loads      loadHistory
	order      orderState
	records    records
}

// dispatch is one admitted request.
type dispatch struct {
	generation target.Generation
	seed       string
	progress   target.Progress
	// total and emitted count answer tokens.
	total, emitted int
	prefilled      bool
	promptTokens   int
	cachedTokens   int
	// lost is set when the engine crashed with the dispatch.
	lost bool
	// changed is closed and replaced with every change.
	changed chan struct{}
}

func (d *dispatch) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// New returns an engine that has no address yet.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults(), straggle: 1, records: newRecords()}
	e.Process = endpoint.NewProcess(endpoint.ProcessOptions{
		Name: fmt.Sprintf("engine %q", e.opts.ID), Clock: e.opts.Clock, Handler: e.handler(),
		RestartAfter: e.opts.RestartAfter, Forget: e.forget,
	})
	e.reset()
	return e
}

// Options returns the options with their defaults.
func (e *Engine) Options() Options { return e.opts }

// reset forgets everything that a process keeps in memory.
func (e *Engine) reset() {
	e.active = nil
	e.stepping = false
	e.dispatches = make(map[tables.RequestID]*dispatch)
	e.tombstones = make(map[tables.RequestID]bool)
	e.cache = newCache(e.opts)
	e.order = orderState{}
	e.loads = loadHistory{}
}

// admit starts a generation, or refuses it with a code.
func (e *Engine) admit(g target.Generation) (*dispatch, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.records.of(g.ID)
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
		total:        answerLength(g.Prompt, g.MaxTokens),
		promptTokens: target.PromptTokens(g.Prompt),
		changed:      make(chan struct{}),
	}
	e.dispatches[g.ID] = d
	e.active = append(e.active, d)
	rec.admitted(g, e.opts.Clock.Now())
	e.reportLoad()
	e.startStepping()
	return d, ""
}

// cancel stops a dispatch, or leaves a tombstone for one that has not come.
func (e *Engine) cancel(id tables.RequestID) target.Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tombstones[id] = true
	d := e.dispatches[id]
	if d == nil {
		e.records.of(id).Tombstones++
		return e.unknownProgress()
	}
	if d.progress != target.InProgress {
		return d.progress
	}
	e.end(d, target.Cancelled)
	return target.Cancelled
}

// unknownProgress is the word on a dispatch that the engine has no memory of:
// after a restart it cannot tell what ran before.
func (e *Engine) unknownProgress() target.Progress {
	if e.Incarnation() > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// end finishes d with its last progress.
func (e *Engine) end(d *dispatch, progress target.Progress) {
	d.progress = progress
	e.records.ended(d, e.opts.Clock.Now())
	e.remove(d)
	e.reportLoad()
	d.wake()
}

func (e *Engine) remove(d *dispatch) {
	for i, o := range e.active {
		if o == d {
			e.active = append(e.active[:i:i], e.active[i+1:]...)
			return
		}
	}
}

func (e *Engine) reportLoad() {
	running := min(len(e.active), e.opts.BatchMax)
	e.loads.add(e.opts.LoadLag, tables.LoadReport{
		At:          e.opts.Clock.Now(),
		Running:     running,
		Waiting:     len(e.active) - running,
		CacheTokens: e.cache.tokens(),
	})
}

// step is one round of the batch.
type step struct {
	batch    []*dispatch
	duration time.Duration
}

func (e *Engine) startStepping() {
	if e.stepping {
		return
	}
	e.stepping = true
	go e.stepWhileActive(e.Incarnation())
}

func (e *Engine) stepWhileActive(incarnation int64) {
	for {
		s, ok := e.beginStep(incarnation)
		if !ok {
			return
		}
		<-e.opts.Clock.After(s.duration)
		if e.endStep(incarnation, s) {
			e.Crash()
			return
		}
	}
}

// beginStep takes the batch and computes the prefill of its new sequences.
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
	return step{batch: batch, duration: time.Duration(seconds * e.straggle * float64(time.Second))}, true
}

// prefill computes the prompt of a new sequence and returns the tokens that
// the cache did not hold.
func (e *Engine) prefill(d *dispatch) int {
	if d.prefilled {
		return 0
	}
	d.prefilled = true
	g := d.generation
	hit := e.cache.use(e.opts.Clock.Now(), prefix.Chain(target.PrefixScope(g.Model, g.Adapter), []byte(g.Prompt)))
	d.cachedTokens = hit.cachedTokens
	computed := d.promptTokens - d.cachedTokens
	e.records.prefilled(d, computed, hit.recomputedTokens)
	e.reportLoad()
	return computed
}

// endStep gives each sequence of the batch its token and reports whether one
// of them crashes the engine.
func (e *Engine) endStep(incarnation int64, s step) (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Incarnation() != incarnation {
		return false
	}
	for _, d := range s.batch {
		if e.crashes(d) {
			return true
		}
		e.emit(d)
	}
	return false
}

func (e *Engine) emit(d *dispatch) {
	if d.progress != target.InProgress {
		return
	}
	d.emitted++
	e.records.emitted(d)
	if d.emitted == d.total {
		e.end(d, target.Completed)
		return
	}
	d.wake()
}
