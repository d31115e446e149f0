package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// streamAnswer is what a caller got of a streamed answer.
type streamAnswer struct {
	id         string
	text       string
	target     string
	tokens     int
	firstToken time.Duration
	whole      bool
}

func (a streamAnswer) outcome() string {
	if a.whole {
		return "whole"
	}
	return "broken"
}

// callAnswer is what a caller got of a plain call.
type callAnswer struct {
	id     string
	status int
	body   string
	took   time.Duration
}

func post(ctx context.Context, url, key string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer museum-key")
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}

func generate(ctx context.Context, base, prompt string, tokens int) (streamAnswer, error) {
	begun := time.Now()
	body := map[string]any{"prompt": prompt, "max_tokens": tokens}
	res, err := post(ctx, base+"/v1/services/report/generate", "", body)
	if err != nil {
		return streamAnswer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	a := streamAnswer{id: res.Header.Get("Bluebell-Request-Id")}
	if res.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(res.Body)
		return a, fmt.Errorf("status %d: %s", res.StatusCode, raw)
	}
	return a, a.read(res.Body, begun)
}

// read takes server-sent events until the answer ends.
func (a *streamAnswer) read(r io.Reader, begun time.Time) error {
	var name string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = value
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if err := a.take(name, []byte(data), begun); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

func (a *streamAnswer) take(name string, data []byte, begun time.Time) error {
	var event struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
		Target string `json:"target"`
		Kind   string `json:"kind"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("event %q: %w", name, err)
	}
	switch name {
	case "token":
		if a.firstToken == 0 {
			a.firstToken = time.Since(begun)
		}
		a.text += event.Text
		a.tokens += event.Tokens
	case "done":
		a.whole = true
		a.target = event.Target
	default:
		return fmt.Errorf("answer ended with %s %s", name, event.Kind)
	}
	return nil
}

func call(ctx context.Context, base, service, operation, key, body string) (callAnswer, error) {
	begun := time.Now()
	res, err := post(ctx, base+"/v1/services/"+service+"/operations/"+operation, key, json.RawMessage(body))
	if err != nil {
		return callAnswer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return callAnswer{
		id: res.Header.Get("Bluebell-Request-Id"), status: res.StatusCode,
		body: string(raw), took: time.Since(begun),
	}, err
}
