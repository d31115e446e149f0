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
	// idleTimeout bounds the life of an unused connection, so that a pool
	// holds few that went silent.
	idleTimeout = 30 * time.Second
	// controlTimeout bounds calls other than generations and operations.
	controlTimeout = 5 * time.Second
	// maxAnswerBytes bounds one answer of a target.
	maxAnswerBytes = 32 << 20
	// maxControlBytes bounds the answer to any other call.
	maxControlBytes = 4 << 20
)

// connections are the HTTP clients of one target.
type connections struct {
	base string
	// pooled reuses connections; fresh opens one for each call.
	pooled, fresh *http.Client
}

func newConnections(address string) connections {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return connections{
		base:   "http://" + address,
		pooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeout}},
		fresh:  httpcall.NewGuarded(dialTimeout),
	}
}

// close drops idle connections.
func (c connections) close() {
	c.pooled.CloseIdleConnections()
}

// sendError classifies a call without an answer: nothing was sent, or the
// request may have run.
func sendError(err error) error {
	var e *httpcall.Error
	if !errors.As(err, &e) {
		return err
	}
	if !e.Sent {
		return fmt.Errorf("%w: %w", ErrNotAdmitted, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// askError classifies a question without an answer: that it was not even sent
// says nothing of the dispatch that it was about.
func askError(err error) error {
	var e *httpcall.Error
	if errors.As(err, &e) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// refusal classifies an error answer by the target's own word.
func refusal(resp httpcall.Response) error {
	p := httpcall.ProblemOf(resp)
	return fmt.Errorf("%w: status %d %s %s", meaningOf(p.Code), resp.Status, p.Code, p.Message)
}

func meaningOf(code string) error {
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

// decode reads the JSON body of a 200 answer into v.
func decode(resp httpcall.Response, v any) error {
	if resp.Status != http.StatusOK {
		return refusal(resp)
	}
	if err := json.Unmarshal(resp.Body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}
