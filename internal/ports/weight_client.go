package ports

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// PermitRequest asks the weight store for one load permit.
type PermitRequest struct {
	Artefact string `json:"artefact"`
	Fence    int64  `json:"fence"`
}

// Permit is one load permit of the weight store.
type Permit struct {
	LastsMillis int64 `json:"lasts_ms"`
}

// WeightClient is a WeightStore over HTTP.
type WeightClient struct {
	base string
	http *http.Client
}

var _ WeightStore = (*WeightClient)(nil)

// NewWeightClient returns a client of the weight store at baseURL; a nil c
// means a client of its own.
func NewWeightClient(baseURL string, c *http.Client) *WeightClient {
	return &WeightClient{base: baseURL, http: orOwnClient(c)}
}

// Acquire asks for one load permit under a fencing number and returns how
// long the permit lasts. Errors wrap ErrUnavailable.
func (s *WeightClient) Acquire(ctx context.Context, artefact string, fence int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(PermitRequest{Artefact: artefact, Fence: fence})
	if err != nil {
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", artefact, ErrUnavailable, err)
	}
	resp, err := httpcall.Do(ctx, s.http, httpcall.Request{
		Method: http.MethodPost,
		URL:    s.base + "/v1/permits",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	}, maxAnswerBytes)
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
	return time.Duration(p.LastsMillis) * time.Millisecond, nil
}
