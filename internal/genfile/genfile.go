// Package genfile writes generated files and implements main for the programs that
// generate them.
package genfile

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Write creates or truncates the file at path and calls fill to write its content.
// Errors include the path.
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

// Main calls Write with the path given as the only command-line argument. If that
// fails, it prints the error and exits the process with status 1.
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
