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

// CheckHead returns ErrInvalidStatus or ErrInvalidName if the head of a final answer is not valid HTTP.
// net/http accepts any three digits as a status, and panics if one below 100 is passed on. It also
// accepts blanks in the names of fields, and ignores a length or an encoding with such a name.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w: %d", ErrInvalidStatus, status)
	}
	return CheckNames(header)
}

// CheckNames returns ErrInvalidName if the name of a field is not a token.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrInvalidName, name)
		}
	}
	return nil
}
