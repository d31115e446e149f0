package ports

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

const (
	// callTimeout is the timeout of one call to a platform service. A long-polling
	// read adds its wait.
	callTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a platform service's response.
	maxResponseBytes = 16 << 20
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// LogClient is a Log over HTTP. It is safe for concurrent use.
type LogClient struct {
	baseURL    string
	httpClient *http.Client
}

var _ Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at baseURL. If c is nil, it
// creates an HTTP client.
func NewLogClient(baseURL string, c *http.Client) *LogClient {
	return &LogClient{baseURL: baseURL, httpClient: clientOrDefault(c)}
}

// Append appends a record and returns its offset. Errors wrap ErrUnavailable or
// ErrUnknown.
func (l *LogClient) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, l.httpClient, httpcall.Request{
		Method: http.MethodPost,
		URL:    l.recordsURL(stream),
		Header: http.Header{"Content-Type": {"application/octet-stream"}},
		Body:   data,
	}, maxResponseBytes)
	if err != nil {
		return 0, fmt.Errorf("append to stream %q: %w: %w", stream, classifySendError(err), err)
	}
	if resp.Status != http.StatusCreated {
		return 0, fmt.Errorf("append to stream %q: %w: status %d %s", stream, classifyStatus(resp.Status), resp.Status, httpcall.ProblemOf(resp).Message)
	}
	var a AppendResponse
	if err := json.Unmarshal(resp.Body, &a); err != nil {
		return 0, fmt.Errorf("append to stream %q: %w: %w", stream, ErrUnknown, err)
	}
	return a.Offset, nil
}

// Read returns the records whose offset is at least from. If there is none yet,
// it waits for the first one, for at most the duration wait. Errors wrap
// ErrTruncated or ErrUnavailable. With ErrTruncated, First and Next of the page
// are set.
func (l *LogClient) Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := fmt.Sprintf("?from=%d&wait_ms=%d", from, max(wait, 0).Milliseconds())
	resp, err := httpcall.Do(ctx, l.httpClient, httpcall.Request{Method: http.MethodGet, URL: l.recordsURL(stream) + query}, maxResponseBytes)
	if err != nil {
		return Page{}, fmt.Errorf("read stream %q: %w: %w", stream, ErrUnavailable, err)
	}
	var page Page
	switch resp.Status {
	case http.StatusOK, http.StatusGone:
		if err := json.Unmarshal(resp.Body, &page); err != nil {
			return Page{}, fmt.Errorf("read stream %q: %w: %w", stream, ErrUnavailable, err)
		}
	default:
		return Page{}, fmt.Errorf("read stream %q: %w: status %d %s", stream, ErrUnavailable, resp.Status, httpcall.ProblemOf(resp).Message)
	}
	if resp.Status == http.StatusGone {
		return page, fmt.Errorf("read stream %q from %d: %w: oldest is %d", stream, from, ErrTruncated, page.First)
	}
	return page, nil
}

func (l *LogClient) recordsURL(stream string) string {
	return l.baseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// classifySendError returns the error for an append without a response:
// ErrUnavailable if the request was not sent, and ErrUnknown otherwise.
func classifySendError(err error) error {
	var e *httpcall.Error
	if errors.As(err, &e) && !e.Sent {
		return ErrUnavailable
	}
	return ErrUnknown
}

// classifyStatus returns the error for the status of a failed append. The log
// service guarantees that an append answered with 4xx or 503 has had no effect.
// It guarantees nothing for other statuses.
func classifyStatus(status int) error {
	if status == http.StatusServiceUnavailable || (status >= 400 && status < 500) {
		return ErrUnavailable
	}
	return ErrUnknown
}

// clientOrDefault returns c, or a new HTTP client if c is nil.
func clientOrDefault(c *http.Client) *http.Client {
	if c != nil {
		return c
	}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: httpcall.MaxHeaderBytes,
	}}
}
