// Command bluebell-capacity measures slopes, which are the costs of one unit of
// load. It writes the slopes and the capacity budget derived from them into a
// directory and updates the values that a page, docs/CAPACITY.md, cites.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

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
	if len(args) != 2 {
		return fmt.Errorf("usage: bluebell-capacity DIRECTORY PAGE, got %d arguments", len(args))
	}
	if err := os.MkdirAll(args[0], directoryMode); err != nil {
		return err
	}
	size := capacity.TargetSize()
	slopes, err := capacity.MeasureSlopes(size)
	if err != nil {
		return err
	}
	if err := write(args[0], "slopes.csv", func(w io.Writer) error { return capacity.WriteCSV(w, slopes) }); err != nil {
		return err
	}
	written, err := readSlopes(filepath.Join(args[0], "slopes.csv"))
	if err != nil {
		return err
	}
	if err := write(args[0], "budget.md", func(w io.Writer) error { return capacity.WriteBudget(w, size, written) }); err != nil {
		return err
	}
	return updatePage(args[1], written)
}

// readSlopes reads slopes from the CSV file at path. The budget and the page are
// generated from the values in the file, so that they match it to the last digit.
func readSlopes(path string) (capacity.Slopes, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return capacity.ReadCSV(f)
}

func updatePage(path string, slopes capacity.Slopes) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated, unknown := capacity.UpdateCitations(string(page), slopes)
	if len(unknown) > 0 {
		return fmt.Errorf("%s cites slopes that were not measured: %s", path, strings.Join(unknown, ", "))
	}
	return genfile.Write(path, func(w io.Writer) error {
		_, err := io.WriteString(w, updated)
		return err
	})
}

func write(directory, name string, fill func(io.Writer) error) error {
	return genfile.Write(filepath.Join(directory, name), fill)
}
