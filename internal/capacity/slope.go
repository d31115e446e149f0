// Package capacity measures what one unit of load costs a process and works
// out from it what a host spends at the target size. Every figure of
// docs/CAPACITY.md comes from here.
package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// Units of slopes.
const (
	Seconds = "s"
	Bytes   = "B"
	Count   = "1"
)

// Slope is the measured cost of one unit of load.
type Slope struct {
	// Name is "<part>.<quantity>".
	Name string
	// Value is in Unit.
	Value float64
	Unit  string
	// Per is the unit of load.
	Per string
	// Method says how the value was measured.
	Method string
}

// Slopes holds slopes by name.
type Slopes map[string]Slope

// Value returns the value of a slope. It panics for a name that was not
// measured, which is a fault of the program.
func (s Slopes) Value(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("slope %q was not measured", name))
	}
	return slope.Value
}

// WriteCSV writes slopes as a table with a header.
func WriteCSV(w io.Writer, slopes []Slope) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"name", "value", "unit", "per", "method"}); err != nil {
		return err
	}
	for _, s := range slopes {
		value := strconv.FormatFloat(s.Value, 'g', significantDigits, 64)
		if err := out.Write([]string{s.Name, value, s.Unit, s.Per, s.Method}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// ReadCSV reads a table that WriteCSV wrote.
func ReadCSV(r io.Reader) (Slopes, error) {
	lines, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	out := make(Slopes, len(lines))
	for _, fields := range lines[min(1, len(lines)):] {
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return nil, fmt.Errorf("slope %q: %w", fields[0], err)
		}
		out[fields[0]] = Slope{Name: fields[0], Value: value, Unit: fields[2], Per: fields[3], Method: fields[4]}
	}
	return out, nil
}

// significantDigits of a written slope.
const significantDigits = 4

// leastMeasured is the processor time that a measurement takes at least.
const leastMeasured = 500 * time.Millisecond

// secondsOf returns the processor time of one run of f, with its share of
// garbage collection. It does not depend on what else the machine runs.
func secondsOf(f func()) (float64, error) {
	f()
	for runs := 1; ; runs *= 2 {
		before, err := processorTime()
		if err != nil {
			return 0, err
		}
		for range runs {
			f()
		}
		after, err := processorTime()
		if err != nil {
			return 0, err
		}
		if spent := after - before; spent >= leastMeasured {
			return spent.Seconds() / float64(runs), nil
		}
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// memoryOf returns the heap and stack bytes that build leaves in use.
func memoryOf(build func() any) float64 {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
