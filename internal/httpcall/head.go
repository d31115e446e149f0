package httpcall

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Errors of CheckHead.
var (
	ErrInvalidStatus = errors.New("the status of the answer is none")
	ErrInvalidName   = errors.New("the name of a field of the answer is none")
)

// CheckHead returns an error if the head of a final answer is none of HTTP. net/http accepts any three
// digits as a status, and panics if one below 100 is passed on. It also accepts blanks in the names of
// fields, and takes a length or an encoding with such a name for none.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w: %d", ErrInvalidStatus, status)
	}
	return CheckNames(header)
}

// CheckNames returns an error if the name of a field is none.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrInvalidName, name)
		}
	}
	return nil
}
