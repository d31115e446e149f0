// Command bluebell-demo runs requests end to end in one process with embedded
// stand-ins and checks the results. It exits with status 0 only if every check
// passes.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/demo"
	platformdemo "github.com/bluebellseam/bluebellseam/platform/demo"
)

const timeout = 30 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1) //nolint:gocritic // the deferred cancel has run
	}
}

// run runs the demo of the callers' API, followed by the demo on the users'
// platform.
func run(ctx context.Context) error {
	if err := demo.Run(ctx, os.Stdout); err != nil {
		return err
	}
	fmt.Println("\non the users' platform:")
	return platformdemo.Run(ctx, os.Stdout)
}
