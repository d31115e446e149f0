package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// line writes a line to the file and to standard output.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
	fmt.Fprint(r.file, text)
	fmt.Print(text)
}

// note writes a line to the file only.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
