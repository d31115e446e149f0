package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// MintKey asks a host for an idempotency key of its own.
func (h *Harness) MintKey(ctx context.Context, host, customerKey string) (string, error) {
	at, err := h.Host(host)
	if err != nil {
		return "", err
	}
	resp, err := httpcall.Do(ctx, h.callers, httpcall.Request{
		Method: http.MethodPost,
		URL:    "http://" + at.CallerAddress() + "/v1/keys",
		Header: http.Header{"Authorization": {"Bearer " + customerKey}},
	}, maxAnswerBytes)
	if err != nil {
		return "", fmt.Errorf("mint a key at %q: %w", host, err)
	}
	var minted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(resp.Body, &minted); err != nil || minted.Key == "" {
		return "", fmt.Errorf("mint a key at %q: answer %q", host, resp.Body)
	}
	return minted.Key, nil
}
