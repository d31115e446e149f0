package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// HostListClient is a HostList over HTTP.
type HostListClient struct {
	base string
	http *http.Client
}

var _ HostList = (*HostListClient)(nil)

// NewHostListClient returns a client of the host list at baseURL; a nil c
// means a client of its own.
func NewHostListClient(baseURL string, c *http.Client) *HostListClient {
	return &HostListClient{base: baseURL, http: orOwnClient(c)}
}

// List returns the current listing. Errors wrap ErrUnavailable.
func (h *HostListClient) List(ctx context.Context) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, h.http, httpcall.Request{Method: http.MethodGet, URL: h.base + "/v1/hosts"}, maxAnswerBytes)
	if err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	if resp.Status != http.StatusOK {
		return Listing{}, fmt.Errorf("list hosts: %w: status %d %s", ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
	var listing Listing
	if err := json.Unmarshal(resp.Body, &listing); err != nil {
		return Listing{}, fmt.Errorf("list hosts: %w: %w", ErrUnavailable, err)
	}
	return listing, nil
}
