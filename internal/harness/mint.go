package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// MintKey makes a host mint an idempotency key and returns it.
func (h *Harness) MintKey(ctx context.Context, hostName, customerKey string) (string, error) {
	host, err := h.Host(hostName)
	if err != nil {
		return "", err
	}
	resp, err := httpcall.Do(ctx, h.callerClient, httpcall.Request{
		Method: http.MethodPost,
		URL:    "http://" + host.CallerAddress() + "/v1/keys",
		Header: http.Header{"Authorization": {"Bearer " + customerKey}},
	}, maxResponseBytes)
	if err != nil {
		return "", fmt.Errorf("mint a key at %q: %w", hostName, err)
	}
	var minted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(resp.Body, &minted); err != nil || minted.Key == "" {
		return "", fmt.Errorf("mint a key at %q: answer %q", hostName, resp.Body)
	}
	return minted.Key, nil
}
