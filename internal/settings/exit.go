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

// Exit ends the process after a failed load: it prints help to standard output
// and exits 0, or prints one line to standard error and exits 2.
func Exit(err error) {
	os.Exit(report(err, os.Stdout, os.Stderr))
}

func report(err error, stdout, stderr io.Writer) int {
	var help *HelpError
	if errors.As(err, &help) {
		fmt.Fprint(stdout, help.Text)
		return ExitOK
	}
	fmt.Fprintln(stderr, oneLine(err))
	return ExitBadSettings
}
