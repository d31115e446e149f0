// Command gen writes docs/operators/errors.md from the error kinds.
package main

import (
	"fmt"
	"os"

	"github.com/bluebellseam/bluebellseam/internal/ctl"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: gen FILE, got %d arguments", len(args)-1)
	}
	f, err := os.Create(args[1])
	if err != nil {
		return err
	}
	if err := ctl.WriteErrorsPage(f); err != nil {
		return err
	}
	return f.Close()
}
