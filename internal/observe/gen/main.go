// Command gen writes docs/metrics.md from the metric definitions.
package main

import (
	"fmt"
	"os"

	"github.com/bluebellseam/bluebellseam/internal/observe"
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
	if err := observe.WriteMarkdown(f); err != nil {
		return err
	}
	return f.Close()
}
