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
	Artefact string `json:"artefact"`
	Fence    int64  `json:"fence"`
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

// Acquire acquires a permit to load an artefact. fence is the fencing number of
// the caller's weight-store lease. Acquire returns how long the permit is valid.
// Errors wrap ErrUnavailable.
func (s *WeightClient) Acquire(ctx context.Context, artefact string, fence int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(PermitRequest{Artefact: artefact, Fence: fence})
	if err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", artefact, ErrUnavailable, err)
	}
	resp, err := httpcall.Do(ctx, s.httpClient, httpcall.Request{
		Method: http.MethodPost,
		URL:    s.baseURL + "/v1/permits",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	}, maxResponseBytes)
	if err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", artefact, ErrUnavailable, err)
	}
	if resp.Status != http.StatusOK {
		return 0, fmt.Errorf("acquire permit for %q: %w: status %d %s", artefact, ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
	var p Permit
	if err := json.Unmarshal(resp.Body, &p); err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", artefact, ErrUnavailable, err)
	}
	return time.Duration(p.ValidMillis) * time.Millisecond, nil
}
