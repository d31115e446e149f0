package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Exit codes of the servers.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadSettings = 2
)

// Exit ends the process. Without an error the exit code is 0. A HelpError prints
// its text to standard output and exits with 0. All other errors print one line
// to standard error; the exit code is 2 for invalid settings and 1 otherwise.
func Exit(err error) {
	os.Exit(writeResult(err, os.Stdout, os.Stderr))
}

// writeResult writes the output for err and returns the exit code.
func writeResult(err error, stdout, stderr io.Writer) int {
	var help *HelpError
	var bad *InvalidError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &help):
		fmt.Fprint(stdout, help.Text)
		return ExitOK
	case errors.As(err, &bad):
		fmt.Fprintln(stderr, oneLine(err))
		return ExitBadSettings
	default:
		fmt.Fprintln(stderr, oneLine(err))
		return ExitFailed
	}
}
