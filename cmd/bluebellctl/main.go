// Command bluebellctl is the command-line client of the operators' API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellseam/bluebellseam/internal/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	streams := ctl.IO{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	return ctl.Run(ctx, os.Args[1:], os.Environ(), streams)
}
