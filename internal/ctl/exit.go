package ctl

import (
	"errors"
	"fmt"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Exit codes of bluebellctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the host refused the command. The same command would
	// fail again.
	ExitRefused = 1
	// ExitUsage means that the command line, the environment or an input file is
	// invalid.
	ExitUsage = 2
	// ExitConflict means that the base version of the patch is not the version in
	// force.
	ExitConflict = 3
	// ExitUndecided means that the patch may have been accepted. Publishing it again
	// with the same patch ID is safe.
	ExitUndecided = 4
	// ExitNotEverywhere means that the patch was accepted, but the state that --wait
	// waits for was not confirmed.
	ExitNotEverywhere = 5
	// ExitUnavailable means that the host or the log cannot be reached, or that the
	// host is shutting down or has no configuration. The configuration did not
	// change.
	ExitUnavailable = 6
)

const exitCodesHelp = `Exit codes:
  0  success
  1  refused: the same command would fail again
  2  invalid command line, environment or input file
  3  version conflict: read the current configuration and rebase the patch
  4  undecided: publish again with the same --patch-id
  5  accepted, but not confirmed on every host within --wait-timeout
  6  host or log unreachable: nothing changed, try again`

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	text string
}

// Error returns the message that is printed for the operator.
func (e *exitError) Error() string { return e.text }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func usageError(format string, args ...any) error {
	return exitWith(ExitUsage, format, args...)
}

// toExitError converts an error of the generated client into an exitError. It
// returns an exitError as it is.
func toExitError(err error) *exitError {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr
	}
	var p *api.ProblemStatusCode
	if !errors.As(err, &p) {
		return &exitError{code: ExitUnavailable, text: err.Error()}
	}
	kind := errkind.Kind(p.Response.Kind)
	text := fmt.Sprintf("%s: %s", kind, p.Response.Detail)
	return &exitError{code: exitCodeOf(kind), text: text + "; see: bluebellctl explain " + string(kind)}
}

func exitCodeOf(k errkind.Kind) int {
	switch k {
	case errkind.VersionConflict:
		return ExitConflict
	case errkind.PatchUndecided, errkind.Internal:
		return ExitUndecided
	case errkind.LogUnavailable, errkind.NotConfigured, errkind.ShuttingDown:
		return ExitUnavailable
	default:
		return ExitRefused
	}
}

// kindOf returns the error kind in the response of a host, or errkind.None if err
// is not such a response.
func kindOf(err error) errkind.Kind {
	var p *api.ProblemStatusCode
	if errors.As(err, &p) {
		return errkind.Kind(p.Response.Kind)
	}
	return errkind.None
}
