package ctl

import (
	"errors"
	"fmt"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Exit codes of bluebellctl.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitRefused: the host refused; the same command fails again.
	ExitRefused = 1
	// ExitUsage: the command line, the environment or a file is wrong.
	ExitUsage = 2
	// ExitConflict: the base version is not the version in force.
	ExitConflict = 3
	// ExitUndecided: the patch may be accepted; publish it again with the same
	// patch ID.
	ExitUndecided = 4
	// ExitNotEverywhere: accepted, but not confirmed on every host in time.
	ExitNotEverywhere = 5
	// ExitUnavailable: the host or the log cannot be reached; nothing changed.
	ExitUnavailable = 6
)

const exitCodesHelp = `Exit codes:
  0  done
  1  refused: the same command fails again
  2  wrong command line, environment or file
  3  version conflict: read the configuration and write the patch anew
  4  undecided: publish again with the same --patch-id
  5  accepted, but not confirmed on every host within --wait-timeout
  6  host or log not reachable: nothing changed, try again`

// exitError is a failure with its exit code.
type exitError struct {
	code int
	text string
}

// Error returns the line for the operator.
func (e *exitError) Error() string { return e.text }

func exit(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func usage(format string, args ...any) error {
	return exit(ExitUsage, format, args...)
}

// fromAPI gives an error of the generated client its exit code.
func fromAPI(err error) *exitError {
	var own *exitError
	if errors.As(err, &own) {
		return own
	}
	var p *api.ProblemStatusCode
	if !errors.As(err, &p) {
		return &exitError{code: ExitUnavailable, text: err.Error()}
	}
	kind := errkind.Kind(p.Response.Kind)
	text := fmt.Sprintf("%s: %s", kind, p.Response.Detail)
	return &exitError{code: codeOf(kind), text: text + "; see: bluebellctl explain " + string(kind)}
}

func codeOf(k errkind.Kind) int {
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

// kindOf returns the error kind that a host answered; None for errors without
// an answer.
func kindOf(err error) errkind.Kind {
	var p *api.ProblemStatusCode
	if errors.As(err, &p) {
		return errkind.Kind(p.Response.Kind)
	}
	return errkind.None
}
