package engine

import (
	"errors"
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Crash ends the process: connections are cut and refused, and everything in
// memory is lost. With Options.RestartAfter it restarts by itself.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.incarnation++
	e.records.Crashes++
	for _, d := range e.active {
		d.progress = target.Failed
		e.records.ended(d, e.opts.Clock.Now())
	}
	for _, d := range e.dispatches {
		d.lost = true
		d.wake()
	}
	e.reset()
	ep := e.endpoint
	e.mu.Unlock()
	if ep != nil {
		ep.Down()
	}
	if e.opts.RestartAfter > 0 {
		e.opts.Clock.AfterFunc(e.opts.RestartAfter, e.restartBySelf)
	}
}

func (e *Engine) restartBySelf() {
	if err := e.Restart(); err != nil && !errors.Is(err, endpoint.ErrClosed) {
		panic(err.Error())
	}
}

// Restart starts the process again at the same address, with empty memory.
func (e *Engine) Restart() error {
	e.mu.Lock()
	wasDown := e.down
	e.down = false
	ep := e.endpoint
	e.mu.Unlock()
	if !wasDown || ep == nil {
		return nil
	}
	return ep.Up()
}

// CrashOn makes the engine crash after the prefill of each prompt that
// contains part; an empty part ends that.
func (e *Engine) CrashOn(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = part
}

func (e *Engine) crashes(d *dispatch) bool {
	return e.crashOn != "" && strings.Contains(d.generation.Prompt, e.crashOn)
}

// Straggle makes every later step take factor times as long.
func (e *Engine) Straggle(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.straggle = factor
}

// GoSilent makes every connection that is open now deliver nothing more, while
// it stays open; new connections work. It needs Listen.
func (e *Engine) GoSilent() {
	if ep := e.listening(); ep != nil {
		ep.Silence()
	}
}

// LoseSends makes the next n generations vanish before the engine sees them.
func (e *Engine) LoseSends(n int) { e.faults.LoseSends(n) }

// LoseAnswers makes the next n generations run while their connection is cut.
func (e *Engine) LoseAnswers(n int) { e.faults.LoseAnswers(n) }

// Lost returns how many sends and how many answers were lost.
func (e *Engine) Lost() (sends, answers int) { return e.faults.Lost() }
