package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// statusAnswer holds the part of GET /v1/status that the harness reads.
type statusAnswer struct {
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is a target as a host sees it.
type TargetStatus struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
	// Queued counts waiting requests by tier rank.
	Queued []int `json:"queued"`
}

// TargetLeaving reports whether a host shows a target as leaving, and its gate
// and dispatcher act on it; each process reads the host list for itself.
func (h *Harness) TargetLeaving(ctx context.Context, host, target string) (bool, error) {
	status, err := h.TargetStatus(ctx, host, target)
	if err != nil {
		return false, err
	}
	at, err := h.Host(host)
	if err != nil {
		return false, err
	}
	return status.Leaving && at.closed(tables.TargetID(target)), nil
}

// TargetStatus returns a target as a host sees it; it is zero when the host
// does not show it.
func (h *Harness) TargetStatus(ctx context.Context, host, target string) (TargetStatus, error) {
	at, err := h.Host(host)
	if err != nil {
		return TargetStatus{}, err
	}
	resp, err := httpcall.Do(ctx, h.callers, httpcall.Request{
		Method: http.MethodGet,
		URL:    "http://" + at.OperatorAddress() + "/v1/status",
		Header: http.Header{"Authorization": {"Bearer " + OperatorKey}},
	}, maxAnswerBytes)
	if err != nil {
		return TargetStatus{}, fmt.Errorf("status of %q: %w", host, err)
	}
	var s statusAnswer
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return TargetStatus{}, fmt.Errorf("status of %q: %w", host, err)
	}
	for _, t := range s.Targets {
		if t.ID == target {
			return t, nil
		}
	}
	return TargetStatus{}, nil
}

// closed reports whether the running processes of a host keep new work off a
// target.
func (host *Host) closed(id tables.TargetID) bool {
	host.mu.Lock()
	defer host.mu.Unlock()
	for _, p := range host.processes {
		c, ok := p.(interface{ TargetClosed(tables.TargetID) bool })
		if ok && !c.TargetClosed(id) {
			return false
		}
	}
	return true
}
