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

// Status is the answer of GET /v1/requests/{id}.
type Status struct {
	ID     tables.RequestID `json:"id"`
	State  string           `json:"state"`
	Ran    errkind.RanState `json:"ran"`
	Kind   errkind.Kind     `json:"kind"`
	Detail string           `json:"detail"`
	// Answer is the whole answer; nil when it is not kept.
	Answer *string `json:"answer"`
}

// StateFinished is the state of a request that has an outcome.
const StateFinished = "finished"

// Lookup asks a host for the outcome of a request. A refusal is returned as a
// Status with its kind.
func (h *Harness) Lookup(ctx context.Context, host, customerKey string, id tables.RequestID) (Status, error) {
	at, err := h.Host(host)
	if err != nil {
		return Status{}, err
	}
	resp, err := httpcall.Do(ctx, h.callers, httpcall.Request{
		Method: http.MethodGet,
		URL:    "http://" + at.CallerAddress() + "/v1/requests/" + url.PathEscape(string(id)),
		Header: http.Header{"Authorization": {"Bearer " + customerKey}},
	}, maxAnswerBytes)
	if err != nil {
		return Status{}, fmt.Errorf("look up %q at %q: %w", id, host, err)
	}
	var s Status
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return Status{}, fmt.Errorf("look up %q at %q: %w", id, host, err)
	}
	return s, nil
}
