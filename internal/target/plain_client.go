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

// PlainClient is a Plain over HTTP.
type PlainClient struct {
	conns   connections
	service tables.ServiceID
}

var _ Plain = (*PlainClient)(nil)

// NewPlainClient returns a client of the plain service at address, host:port.
// Calls that name no service go to service.
func NewPlainClient(address string, service tables.ServiceID) *PlainClient {
	return &PlainClient{conns: newConnections(address), service: service}
}

// Close drops idle connections.
func (p *PlainClient) Close() { p.conns.close() }

// Call runs one call on a new connection: a pooled one that went silent or was
// closed would leave it unknown whether the request arrived. Errors wrap ErrNotAdmitted, ErrUnknown or ErrFailed.
func (p *PlainClient) Call(ctx context.Context, c Call) (Answer, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	resp, err := httpcall.Do(ctx, p.conns.fresh, httpcall.Request{
		Method: http.MethodPost,
		URL:    p.callURL(c),
		Header: http.Header{"Content-Type": {"application/json"}, DispatchHeader: {string(c.ID)}},
		Body:   c.Body,
	}, maxAnswerBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("call %q: %w", c.ID, sendError(err))
	}
	if ownWord(resp) {
		return Answer{}, fmt.Errorf("call %q: %w", c.ID, refusal(resp))
	}
	return Answer{Status: resp.Status, Body: resp.Body}, nil
}

// ownWord reports whether the answer states the fate of the dispatch, as
// against an error answer of the operation itself.
func ownWord(resp httpcall.Response) bool {
	if resp.Status < http.StatusBadRequest {
		return false
	}
	code := httpcall.ProblemOf(resp).Code
	return code == CodeDuplicate || !errors.Is(meaningOf(code), ErrUnknown)
}

// Cancel leaves a tombstone for a dispatch and tells its progress, on a new
// connection; a running call goes on. Errors wrap ErrUnknown.
func (p *PlainClient) Cancel(ctx context.Context, id tables.RequestID) (Progress, error) {
	progress, err := postCancel(ctx, p.conns, p.dispatchURL(id)+"/cancel")
	if err != nil {
		return "", fmt.Errorf("cancel %q: %w", id, err)
	}
	return progress, nil
}

// Outcome returns the answer of a completed call, if it is still kept, on a
// new connection. Errors wrap ErrUnknown.
func (p *PlainClient) Outcome(ctx context.Context, id tables.RequestID) (Answer, Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, p.conns.fresh, httpcall.Request{Method: http.MethodGet, URL: p.dispatchURL(id)}, maxAnswerBytes)
	if err != nil {
		return Answer{}, "", fmt.Errorf("outcome of %q: %w: %w", id, ErrUnknown, err)
	}
	var o OutcomeAnswer
	if err := decode(resp, &o); err != nil {
		return Answer{}, "", fmt.Errorf("outcome of %q: %w: %w", id, ErrUnknown, err)
	}
	return Answer{Status: o.Status, Body: o.Body}, o.Progress, nil
}

func (p *PlainClient) callURL(c Call) string {
	service := c.Service
	if service == "" {
		service = p.service
	}
	return p.conns.base + "/v1/services/" + url.PathEscape(string(service)) + "/operations/" + url.PathEscape(c.Operation)
}

func (p *PlainClient) dispatchURL(id tables.RequestID) string {
	return p.conns.base + "/v1/dispatches/" + url.PathEscape(string(id))
}
