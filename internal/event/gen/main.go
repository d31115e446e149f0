// Command gen writes the event catalogue as Markdown to the file named by its
// argument.
package main

import (
	"fmt"
	"os"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

func main() {
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := event.WriteMarkdown(f); err != nil {
		return err
	}
	return f.Close()
}
