// Command bluebell-demo runs the whole path in one process on embedded
// stand-ins and checks what it sees. It exits with 0 only if every check held.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/demo"
	platformdemo "github.com/bluebellseam/bluebellseam/platform/demo"
)

const bound = 30 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1) //nolint:gocritic // the deferred cancel has run
	}
}

// run shows the product's own interface, then the users' platform.
func run(ctx context.Context) error {
	if err := demo.Run(ctx, os.Stdout); err != nil {
		return err
	}
	fmt.Println("\non the users' platform:")
	return platformdemo.Run(ctx, os.Stdout)
}
