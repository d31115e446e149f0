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

// Exit ends the process with the result of its run: without an error it exits
// 0, help goes to standard output and exits 0, bad settings exit 2 and any
// other error exits 1, each with one line on standard error.
func Exit(err error) {
	os.Exit(report(err, os.Stdout, os.Stderr))
}

func report(err error, stdout, stderr io.Writer) int {
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
