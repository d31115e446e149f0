package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// statusAnswer holds the part of GET /v1/status that the harness reads.
type statusAnswer struct {
	Targets []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// TargetLeaving reports whether a host shows a target as leaving.
func (h *Harness) TargetLeaving(ctx context.Context, host, target string) (bool, error) {
	at, err := h.Host(host)
	if err != nil {
		return false, err
	}
	resp, err := httpcall.Do(ctx, h.callers, httpcall.Request{
		Method: http.MethodGet,
		URL:    "http://" + at.OperatorAddress() + "/v1/status",
		Header: http.Header{"Authorization": {"Bearer " + OperatorKey}},
	}, maxAnswerBytes)
	if err != nil {
		return false, fmt.Errorf("status of %q: %w", host, err)
	}
	var s statusAnswer
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return false, fmt.Errorf("status of %q: %w", host, err)
	}
	for _, t := range s.Targets {
		if t.ID == target {
			return t.Leaving, nil
		}
	}
	return false, nil
}
