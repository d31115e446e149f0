package engine

import (
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// forget loses everything in memory in a crash; the records stay.
func (e *Engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
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
