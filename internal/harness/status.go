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
	Targets []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// TargetLeaving reports whether a host shows a target as leaving, and its gate
// and dispatcher act on it; each process reads the host list for itself.
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
			return t.Leaving && at.closed(tables.TargetID(target)), nil
		}
	}
	return false, nil
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
