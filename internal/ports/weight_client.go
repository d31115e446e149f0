package ports

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// PermitRequest is a request for a load permit of the weight store.
type PermitRequest struct {
	// LoadID identifies the load; see WeightStore.Acquire.
	LoadID string `json:"artefact"`
	Fence  int64  `json:"fence"`
}

// Permit is a load permit of the weight store.
type Permit struct {
	// ValidMillis is how long the permit is valid, in milliseconds.
	ValidMillis int64 `json:"lasts_ms"`
}

// WeightClient is a WeightStore over HTTP. It is safe for concurrent use.
type WeightClient struct {
	baseURL    string
	httpClient *http.Client
}

var _ WeightStore = (*WeightClient)(nil)

// NewWeightClient returns a client of the weight store at baseURL. If c is nil,
// it creates an HTTP client.
func NewWeightClient(baseURL string, c *http.Client) *WeightClient {
	return &WeightClient{baseURL: baseURL, httpClient: clientOrDefault(c)}
}

// Acquire acquires a permit for one load of weights and returns how long the
// permit is valid. loadID identifies the load, and fence is the fencing number of
// the caller's weight-store lease. Errors wrap ErrUnavailable.
func (s *WeightClient) Acquire(ctx context.Context, loadID string, fence int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(PermitRequest{LoadID: loadID, Fence: fence})
	if err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", loadID, ErrUnavailable, err)
	}
	resp, err := httpcall.Do(ctx, s.httpClient, httpcall.Request{
		Method: http.MethodPost,
		URL:    s.baseURL + "/v1/permits",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	}, maxResponseBytes)
	if err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", loadID, ErrUnavailable, err)
	}
	if resp.Status != http.StatusOK {
		return 0, fmt.Errorf("acquire permit for %q: %w: status %d %s", loadID, ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
	var p Permit
	if err := json.Unmarshal(resp.Body, &p); err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", loadID, ErrUnavailable, err)
	}
	return time.Duration(p.ValidMillis) * time.Millisecond, nil
}
