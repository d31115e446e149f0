package ports

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// HostListClient is a HostList over HTTP. It asks with the entity tag of the
// last listing, so that a list that has not changed is not sent again.
type HostListClient struct {
	base string
	http *http.Client

	mu   sync.Mutex
	tag  string
	last Listing
}

var _ HostList = (*HostListClient)(nil)

// NewHostListClient returns a client of the host list at baseURL; a nil c
// means a client of its own.
func NewHostListClient(baseURL string, c *http.Client) *HostListClient {
	return &HostListClient{base: baseURL, http: orOwnClient(c)}
}

// List returns the current listing, which must not be changed. Errors wrap
// ErrUnavailable.
func (h *HostListClient) List(ctx context.Context) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	resp, err := httpcall.Do(ctx, h.http, h.request(), maxAnswerBytes)
	if err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	switch resp.Status {
	case http.StatusNotModified:
		return h.last, nil
	case http.StatusOK:
		return h.take(resp)
	default:
		return Listing{}, fmt.Errorf("list hosts: %w: status %d %s", ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
}

func (h *HostListClient) request() httpcall.Request {
	r := httpcall.Request{Method: http.MethodGet, URL: h.base + "/v1/hosts"}
	if h.tag != "" {
		r.Header = http.Header{"If-None-Match": {h.tag}}
	}
	return r
}

func (h *HostListClient) take(resp httpcall.Response) (Listing, error) {
	var listing Listing
	if err := json.Unmarshal(resp.Body, &listing); err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	h.last = listing
	h.tag = resp.Header.Get("ETag")
	return listing, nil
}
