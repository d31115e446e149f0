// Command bluebell-capacity measures the slopes of docs/CAPACITY.md and writes
// them, with the budget that follows from them, into a directory.
package main

import (
	"fmt"
	"os"

	"github.com/bluebellseam/bluebellseam/internal/capacity"
)

func main() {
	slopes, err := capacity.Measure(capacity.Target())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_ = capacity.WriteCSV(os.Stdout, slopes)
}
