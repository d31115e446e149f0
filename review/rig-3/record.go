package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// log adds a line with the time since the begin.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
