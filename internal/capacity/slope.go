// Package capacity measures slopes and computes from them the costs of one host at the
// target size. A slope is the cost that one more unit of a load adds, such as the bytes of
// one more heartbeat or the processor time of one more request. The figures in
// docs/CAPACITY.md come from this package.
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

// Units of the values of slopes.
const (
	Seconds = "s"
	Bytes   = "B"
	Count   = "1"
)

// Slope is the measured cost that one more unit of a load adds.
type Slope struct {
	// Name is "<part>.<quantity>".
	Name string
	// Value is in Unit.
	Value float64
	Unit  string
	// Per is the unit of load that the value refers to.
	Per string
	// Method describes how the value was measured.
	Method string
}

// Slopes holds slopes by name.
type Slopes map[string]Slope

// Value returns the value of the slope with the given name. It panics if there is none,
// because that is a programming error.
func (s Slopes) Value(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("slope %q was not measured", name))
	}
	return slope.Value
}

// WriteCSV writes a header and one record per slope.
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

// ReadCSV reads the output of WriteCSV.
func ReadCSV(r io.Reader) (Slopes, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	out := make(Slopes, len(records))
	for _, fields := range records[min(1, len(records)):] {
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return nil, fmt.Errorf("slope %q: %w", fields[0], err)
		}
		out[fields[0]] = Slope{Name: fields[0], Value: value, Unit: fields[2], Per: fields[3], Method: fields[4]}
	}
	return out, nil
}

// significantDigits is the number of significant digits of values in the CSV file.
const significantDigits = 4

// minMeasuredTime is the minimum processor time of a measurement.
const minMeasuredTime = 500 * time.Millisecond

// secondsPerRun returns the processor time in seconds of one run of f, including garbage
// collection. It excludes the processor time of other processes.
func secondsPerRun(f func()) (float64, error) {
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
		if spent := after - before; spent >= minMeasuredTime {
			return spent.Seconds() / float64(runs), nil
		}
	}
}

// processorTime returns the total processor time of this process so far.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// memoryOf returns the change in heap and stack memory, in bytes, caused by a call of
// build whose result remains in use.
func memoryOf(build func() any) float64 {
	before := memoryInUse()
	result := build()
	after := memoryInUse()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in
// bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
