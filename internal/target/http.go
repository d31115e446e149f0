package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept. It limits the number of
	// dead connections in the pool.
	idleTimeout = 30 * time.Second
	// controlTimeout is the timeout of calls other than Generate, Resume and
	// Call.
	controlTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of the response to a call of an
	// operation or to a query for the call's outcome.
	maxResponseBytes = 32 << 20
	// maxControlBytes is the maximum size of any other response that is not a
	// stream.
	maxControlBytes = 4 << 20
)

// httpClients contains the HTTP clients for one target.
type httpClients struct {
	baseURL string
	// pooled reuses connections. fresh opens a new connection for each call and
	// checks the call's permit; see httpcall.WithPermit.
	pooled, fresh *http.Client
}

func newHTTPClients(address string) httpClients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return httpClients{
		baseURL: "http://" + address,
		pooled: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: httpcall.MaxHeaderBytes,
		}},
		fresh: httpcall.NewGuarded(dialTimeout),
	}
}

// close closes the idle connections.
func (c httpClients) close() {
	c.pooled.CloseIdleConnections()
}

// classifySendError classifies the error of a call without a response. The
// result wraps ErrNotAdmitted if nothing was sent, and ErrUnknown if the target
// may have run the request. An err that is not an *httpcall.Error is returned
// unchanged.
func classifySendError(err error) error {
	var e *httpcall.Error
	if !errors.As(err, &e) {
		return err
	}
	if !e.Sent {
		return fmt.Errorf("%w: %w", ErrNotAdmitted, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// classifyQueryError classifies the error of a query about a dispatch. A query
// without a response is always ErrUnknown: even if the query was not sent, the
// dispatch itself may have run.
func classifyQueryError(err error) error {
	var e *httpcall.Error
	if errors.As(err, &e) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// errorFromResponse returns the error for an error response, according to the
// code in its body.
func errorFromResponse(resp httpcall.Response) error {
	p := httpcall.ProblemOf(resp)
	return fmt.Errorf("%w: status %d %s %s", errorFromCode(p.Code), resp.Status, p.Code, p.Message)
}

// errorFromCode returns the error for a code in a target's error response or error
// event.
func errorFromCode(code string) error {
	switch code {
	case CodeNotAdmitted, CodeTombstoned, CodeMalformed, CodeUnknownDispatch:
		return ErrNotAdmitted
	case CodeModelNotLoaded:
		return ErrModelNotLoaded
	case CodeCancelled, CodeFailed:
		return ErrFailed
	case CodeFenced:
		return ErrFenced
	default:
		return ErrUnknown
	}
}

// decode decodes the JSON body of a response with status 200 into v. For any
// other status it returns the error from errorFromResponse.
func decode(resp httpcall.Response, v any) error {
	if resp.Status != http.StatusOK {
		return errorFromResponse(resp)
	}
	if err := json.Unmarshal(resp.Body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}
