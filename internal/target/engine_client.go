package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// EngineClient is an Engine over HTTP. It is safe for concurrent use.
type EngineClient struct {
	clients httpClients
}

var _ Engine = (*EngineClient)(nil)

// NewEngineClient returns a client of the engine at address, which has the form
// host:port.
func NewEngineClient(address string) *EngineClient {
	return &EngineClient{clients: newHTTPClients(address)}
}

// Close closes the idle connections.
func (e *EngineClient) Close() { e.clients.close() }

// Generate starts a generation. It opens a new connection, because with a
// pooled connection that is dead or closed it would be unknown whether the
// request arrived. The stream ends when ctx is done. Errors wrap ErrNotAdmitted,
// ErrUnknown or ErrFailed.
func (e *EngineClient) Generate(ctx context.Context, g Generation) (Stream, error) {
	body, err := json.Marshal(CompletionRequest{Model: g.Model, Adapter: g.Adapter, Prompt: g.Prompt, MaxTokens: g.MaxTokens, Stream: true})
	if err != nil {
		return nil, fmt.Errorf("generate %q: %w: %w", g.ID, ErrNotAdmitted, err)
	}
	s, err := openStream(ctx, e.clients.fresh, httpcall.Request{
		Method: http.MethodPost,
		URL:    e.clients.baseURL + "/v1/completions",
		Header: http.Header{"Content-Type": {"application/json"}, DispatchHeader: {string(g.ID)}},
		Body:   body,
	}, g.ID, 0)
	if err != nil {
		return nil, fmt.Errorf("generate %q: %w", g.ID, classifySendError(err))
	}
	return s, nil
}

// Resume continues the stream of a dispatch from the token at offset on a new
// connection. It never starts a generation. Errors wrap ErrNotAdmitted if the
// engine does not know the dispatch, and otherwise ErrUnknown or ErrFailed.
func (e *EngineClient) Resume(ctx context.Context, id tables.RequestID, offset int) (Stream, error) {
	s, err := openStream(ctx, e.clients.fresh, httpcall.Request{
		Method: http.MethodGet,
		URL:    e.dispatchURL(id) + "/stream?offset=" + strconv.Itoa(offset),
	}, id, offset)
	if err != nil {
		return nil, fmt.Errorf("resume %q at %d: %w", id, offset, classifyQueryError(err))
	}
	return s, nil
}

// Cancel stops a dispatch and leaves a tombstone for its ID, so that the engine
// does not run it if it arrives later. Errors wrap ErrUnknown.
func (e *EngineClient) Cancel(ctx context.Context, id tables.RequestID) (Progress, error) {
	p, err := postCancel(ctx, e.clients, e.dispatchURL(id)+"/cancel")
	if err != nil {
		return "", fmt.Errorf("cancel %q: %w", id, err)
	}
	return p, nil
}

// Load returns the latest load report. Errors wrap ErrUnknown, or the error for
// the code in the engine's error response.
func (e *EngineClient) Load(ctx context.Context) (tables.LoadReport, error) {
	var a LoadResponse
	if err := e.get(ctx, "/v1/load", &a); err != nil {
		return tables.LoadReport{}, fmt.Errorf("load report: %w", err)
	}
	return tables.LoadReport{At: a.At, Running: a.Running, Waiting: a.Waiting, CacheTokens: a.CacheTokens}, nil
}

// CacheEvents returns the cache events whose sequence number is greater than
// after. Errors are like those of Load.
func (e *EngineClient) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var a CacheEventsResponse
	if err := e.get(ctx, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &a); err != nil {
		return nil, fmt.Errorf("cache events after %d: %w", after, err)
	}
	return a.Events, nil
}

// Apply sends an order to the engine on a new connection. Errors wrap ErrFenced,
// ErrNotAdmitted or ErrUnknown.
func (e *EngineClient) Apply(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("apply order %d: %w: %w", o.Fence, ErrNotAdmitted, err)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, e.clients.fresh, httpcall.Request{
		Method: http.MethodPut,
		URL:    e.clients.baseURL + "/v1/order",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	}, maxControlBytes)
	if err != nil {
		return fmt.Errorf("apply order %d: %w", o.Fence, classifySendError(err))
	}
	if resp.Status != http.StatusOK {
		return fmt.Errorf("apply order %d: %w", o.Fence, errorFromResponse(resp))
	}
	return nil
}

// State returns the engine's current order and whether it is still loading.
// Errors are like those of Load.
func (e *EngineClient) State(ctx context.Context) (OrderState, error) {
	var s OrderState
	if err := e.get(ctx, "/v1/order", &s); err != nil {
		return OrderState{}, fmt.Errorf("order state: %w", err)
	}
	return s, nil
}

func (e *EngineClient) get(ctx context.Context, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, e.clients.pooled, httpcall.Request{Method: http.MethodGet, URL: e.clients.baseURL + path}, maxControlBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return decode(resp, v)
}

func (e *EngineClient) dispatchURL(id tables.RequestID) string {
	return e.clients.baseURL + "/v1/dispatches/" + url.PathEscape(string(id))
}

// postCancel sends a cancel request to cancelURL on a new connection and returns the
// progress that the target reports.
func postCancel(ctx context.Context, clients httpClients, cancelURL string) (Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, clients.fresh, httpcall.Request{Method: http.MethodPost, URL: cancelURL}, maxControlBytes)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	var a ProgressResponse
	if err := decode(resp, &a); err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return a.Progress, nil
}
