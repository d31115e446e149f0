package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is what was sent, answered and run, one line each. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

// line writes a line with the time since the begin of the case. It is written to standard output,
// too, if it is a result.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line of the result.
func (r *record) result(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
