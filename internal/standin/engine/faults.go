package engine

import (
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// handleCrash clears the in-memory state and marks the active dispatches as
// failed. The records are kept.
func (e *Engine) handleCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Crashes++
	for _, d := range e.active {
		d.progress = target.Failed
		e.records.addEnd(d, e.opts.Clock.Now())
	}
	for _, d := range e.dispatches {
		d.lostInCrash = true
		d.notifyReaders()
	}
	e.reset()
}

// CrashOn makes the engine crash at the end of each decode step whose batch
// includes a prompt that contains substring. An empty substring turns this off.
func (e *Engine) CrashOn(substring string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = substring
}

func (e *Engine) crashesOn(d *dispatch) bool {
	return e.crashOn != "" && strings.Contains(d.generation.Prompt, e.crashOn)
}

// SetSlowdown sets the slowdown: every step that starts later takes factor times
// its normal duration.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}
