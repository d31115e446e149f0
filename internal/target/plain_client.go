package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// PlainClient is a client of a plain service over HTTP. It is safe for
// concurrent use.
type PlainClient struct {
	clients httpClients
	service tables.ServiceID
}

var _ PlainService = (*PlainClient)(nil)

// NewPlainClient returns a client of the target at address, which has the form
// host:port. service is used for calls whose Service field is empty.
func NewPlainClient(address string, service tables.ServiceID) *PlainClient {
	return &PlainClient{clients: newHTTPClients(address), service: service}
}

// Close closes the idle connections.
func (p *PlainClient) Close() { p.clients.close() }

// Call calls an operation. It opens a new connection, because with a pooled
// connection that is dead or closed it would be unknown whether the request
// arrived. Errors wrap ErrNotAdmitted, ErrUnknown or ErrFailed.
func (p *PlainClient) Call(ctx context.Context, c Call) (Response, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	resp, err := httpcall.Do(ctx, p.clients.fresh, httpcall.Request{
		Method: http.MethodPost,
		URL:    p.callURL(c),
		Header: http.Header{"Content-Type": {"application/json"}, DispatchHeader: {string(c.ID)}},
		Body:   c.Body,
	}, maxResponseBytes)
	if err != nil {
		return Response{}, fmt.Errorf("call %q: %w", c.ID, classifySendError(err))
	}
	if statesDispatchOutcome(resp) {
		return Response{}, fmt.Errorf("call %q: %w", c.ID, errorFromResponse(resp))
	}
	return Response{Status: resp.Status, Body: resp.Body}, nil
}

// statesDispatchOutcome reports whether an error response is about the dispatch,
// for example that it was not admitted. Other error responses are results of the
// operation itself.
func statesDispatchOutcome(resp httpcall.Response) bool {
	if resp.Status < http.StatusBadRequest {
		return false
	}
	code := httpcall.ProblemOf(resp).Code
	return code == CodeDuplicate || !errors.Is(errorFromCode(code), ErrUnknown)
}

// Cancel leaves a tombstone for a dispatch, so that the target does not run it
// if it arrives later, and returns the dispatch's progress. It does not stop a
// running call. Errors wrap ErrUnknown.
func (p *PlainClient) Cancel(ctx context.Context, id tables.RequestID) (Progress, error) {
	progress, err := postCancel(ctx, p.clients, p.dispatchURL(id)+"/cancel")
	if err != nil {
		return "", fmt.Errorf("cancel %q: %w", id, err)
	}
	return progress, nil
}

// Outcome returns the progress of a dispatch and, if the call has completed and
// the target still stores it, the response. Errors wrap ErrUnknown.
func (p *PlainClient) Outcome(ctx context.Context, id tables.RequestID) (Response, Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, p.clients.fresh, httpcall.Request{Method: http.MethodGet, URL: p.dispatchURL(id)}, maxResponseBytes)
	if err != nil {
		return Response{}, "", fmt.Errorf("outcome of %q: %w: %w", id, ErrUnknown, err)
	}
	var o OutcomeResponse
	if err := decode(resp, &o); err != nil {
		return Response{}, "", fmt.Errorf("outcome of %q: %w: %w", id, ErrUnknown, err)
	}
	return Response{Status: o.Status, Body: o.Body}, o.Progress, nil
}

func (p *PlainClient) callURL(c Call) string {
	service := c.Service
	if service == "" {
		service = p.service
	}
	return p.clients.baseURL + "/v1/services/" + url.PathEscape(string(service)) + "/operations/" + url.PathEscape(c.Operation)
}

func (p *PlainClient) dispatchURL(id tables.RequestID) string {
	return p.clients.baseURL + "/v1/dispatches/" + url.PathEscape(string(id))
}
