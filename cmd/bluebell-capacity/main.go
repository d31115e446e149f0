// Command bluebell-capacity measures the slopes of docs/CAPACITY.md and writes
// them, with the budget that follows from them, into a directory.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/bluebellseam/bluebellseam/internal/capacity"
	"github.com/bluebellseam/bluebellseam/internal/genfile"
)

const directoryMode = 0o755

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: bluebell-capacity DIRECTORY, got %d arguments", len(args))
	}
	if err := os.MkdirAll(args[0], directoryMode); err != nil {
		return err
	}
	size := capacity.Target()
	slopes, err := capacity.MeasureSlopes(size)
	if err != nil {
		return err
	}
	if err := write(args[0], "slopes.csv", func(w io.Writer) error { return capacity.WriteCSV(w, slopes) }); err != nil {
		return err
	}
	return writeBudget(args[0], size)
}

// writeBudget works from the written slopes, so that both files agree to the
// last digit.
func writeBudget(directory string, size capacity.Size) error {
	f, err := os.Open(filepath.Join(directory, "slopes.csv"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	slopes, err := capacity.ReadCSV(f)
	if err != nil {
		return err
	}
	return write(directory, "budget.md", func(w io.Writer) error { return capacity.WriteBudget(w, size, slopes) })
}

func write(directory, name string, fill func(io.Writer) error) error {
	return genfile.Write(filepath.Join(directory, name), fill)
}
