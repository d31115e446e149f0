package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Status is the response body of GET /v1/requests/{id}.
type Status struct {
	ID     tables.RequestID `json:"id"`
	State  string           `json:"state"`
	Ran    errkind.RanState `json:"ran"`
	Kind   errkind.Kind     `json:"kind"`
	Detail string           `json:"detail"`
	// Answer is the complete answer; nil if the response has none.
	Answer *string `json:"answer"`
}

// StateFinished is the state of a request that has an outcome.
const StateFinished = "finished"

// Lookup queries a host for the status of a request. If the host refuses the
// lookup, the Status has the kind of the refusal.
func (h *Harness) Lookup(ctx context.Context, hostName, customerKey string, id tables.RequestID) (Status, error) {
	host, err := h.Host(hostName)
	if err != nil {
		return Status{}, err
	}
	resp, err := httpcall.Do(ctx, h.callerClient, httpcall.Request{
		Method: http.MethodGet,
		URL:    "http://" + host.CallerAddress() + "/v1/requests/" + url.PathEscape(string(id)),
		Header: http.Header{"Authorization": {"Bearer " + customerKey}},
	}, maxResponseBytes)
	if err != nil {
		return Status{}, fmt.Errorf("look up %q at %q: %w", id, hostName, err)
	}
	var s Status
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return Status{}, fmt.Errorf("look up %q at %q: %w", id, hostName, err)
	}
	return s, nil
}
