package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// statusResponse is the part of the response to GET /v1/status that the harness
// uses.
type statusResponse struct {
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is the state of a target in the status that a host reports.
type TargetStatus struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
	// Queued holds the number of queued requests for each tier, by tier rank.
	Queued []int `json:"queued"`
}

// TargetLeaving reports whether a host's status shows a target as leaving and the
// host's running gate and dispatcher both send the target no new requests. Each
// process reads the host list itself, so the processes may apply the change at
// different times.
func (h *Harness) TargetLeaving(ctx context.Context, hostName, target string) (bool, error) {
	status, err := h.TargetStatus(ctx, hostName, target)
	if err != nil {
		return false, err
	}
	host, err := h.Host(hostName)
	if err != nil {
		return false, err
	}
	return status.Leaving && host.targetClosed(tables.TargetID(target)), nil
}

// TargetStatus returns the first entry for a target in the status that a host
// reports. The result is zero if the status does not include the target.
func (h *Harness) TargetStatus(ctx context.Context, hostName, target string) (TargetStatus, error) {
	host, err := h.Host(hostName)
	if err != nil {
		return TargetStatus{}, err
	}
	resp, err := httpcall.Do(ctx, h.callerClient, httpcall.Request{
		Method: http.MethodGet,
		URL:    "http://" + host.OperatorAddress() + "/v1/status",
		Header: http.Header{"Authorization": {"Bearer " + OperatorKey}},
	}, maxResponseBytes)
	if err != nil {
		return TargetStatus{}, fmt.Errorf("status of %q: %w", hostName, err)
	}
	var s statusResponse
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return TargetStatus{}, fmt.Errorf("status of %q: %w", hostName, err)
	}
	for _, t := range s.Targets {
		if t.ID == target {
			return t, nil
		}
	}
	return TargetStatus{}, nil
}

// targetClosed reports whether no running process of the host sends new requests
// to a target. It checks the processes with a TargetClosed method: the gate and the
// dispatcher.
func (host *Host) targetClosed(id tables.TargetID) bool {
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
