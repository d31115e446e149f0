package ports

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// HostListClient is a HostList over HTTP. Its requests carry the entity tag of
// the last listing, so that the server does not send an unchanged listing again.
// It is safe for concurrent use.
type HostListClient struct {
	baseURL    string
	httpClient *http.Client

	mu          sync.Mutex
	etag        string
	lastListing Listing
}

var _ HostList = (*HostListClient)(nil)

// NewHostListClient returns a client of the host list at baseURL. If c is nil,
// it creates an HTTP client.
func NewHostListClient(baseURL string, c *http.Client) *HostListClient {
	return &HostListClient{baseURL: baseURL, httpClient: clientOrDefault(c)}
}

// List returns the current listing, which the caller must not modify. Errors wrap
// ErrUnavailable.
func (h *HostListClient) List(ctx context.Context) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	resp, err := httpcall.Do(ctx, h.httpClient, h.request(), maxResponseBytes)
	if err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	switch resp.Status {
	case http.StatusNotModified:
		return h.lastListing, nil
	case http.StatusOK:
		return h.storeListing(resp)
	default:
		return Listing{}, fmt.Errorf("list hosts: %w: status %d %s", ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
}

func (h *HostListClient) request() httpcall.Request {
	r := httpcall.Request{Method: http.MethodGet, URL: h.baseURL + "/v1/hosts"}
	if h.etag != "" {
		r.Header = http.Header{"If-None-Match": {h.etag}}
	}
	return r
}

func (h *HostListClient) storeListing(resp httpcall.Response) (Listing, error) {
	var listing Listing
	if err := json.Unmarshal(resp.Body, &listing); err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	h.lastListing = listing
	h.etag = resp.Header.Get("ETag")
	return listing, nil
}
