// Command bluebell-demo runs the whole path in one process on embedded
// stand-ins and checks what it sees. It exits with 0 only if every check held.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/demo"
)

const bound = 30 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := demo.Run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1) //nolint:gocritic // the deferred cancel has run
	}
}
