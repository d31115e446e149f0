// Package genfile writes generated files.
package genfile

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Write creates the file at path and fills it. Errors name the path.
func Write(path string, fill func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(fill(f), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// Main writes the file that the only argument of the program names, and ends
// the process with 1 when that fails.
func Main(fill func(io.Writer) error) {
	if err := run(os.Args[1:], fill); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string, fill func(io.Writer) error) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: gen FILE, got %d arguments", len(args))
	}
	return Write(args[0], fill)
}
