// Package signals asks for the signals of the process as early as a program can:
// while its packages are initialized. A signal that arrives before that ends the
// process.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueLength is the number of signals that are kept until they are received.
const queueLength = 8

var received = register()

func register() <-chan os.Signal {
	c := make(chan os.Signal, queueLength)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Received returns the channel of the signals that ask the process to stop (SIGTERM,
// SIGINT) or to read its settings again (SIGHUP).
func Received() <-chan os.Signal { return received }
