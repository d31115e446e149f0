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
	// callTimeout bounds one call beyond the wait that it asks for.
	callTimeout = 10 * time.Second
	// maxAnswerBytes bounds one answer of a platform service.
	maxAnswerBytes = 16 << 20
)

// Appended is the answer to an append.
type Appended struct {
	Offset Offset `json:"offset"`
}

// LogClient is a Log over HTTP.
type LogClient struct {
	base string
	http *http.Client
}

var _ Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at baseURL; a nil c means
// a client of its own.
func NewLogClient(baseURL string, c *http.Client) *LogClient {
	return &LogClient{base: baseURL, http: orOwnClient(c)}
}

// Append adds one record and returns its offset. Errors wrap ErrUnavailable or
// ErrUnknown.
func (l *LogClient) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, l.http, httpcall.Request{
		Method: http.MethodPost,
		URL:    l.recordsURL(stream),
		Header: http.Header{"Content-Type": {"application/octet-stream"}},
		Body:   data,
	}, maxAnswerBytes)
	if err != nil {
		return 0, fmt.Errorf("append to stream %q: %w: %w", stream, lostOrUnsent(err), err)
	}
	if resp.Status != http.StatusCreated {
		return 0, fmt.Errorf("append to stream %q: %w: status %d %s", stream, refusedOrUnknown(resp.Status), resp.Status, httpcall.ProblemOf(resp).Message)
	}
	var a Appended
	if err := json.Unmarshal(resp.Body, &a); err != nil {
		return 0, fmt.Errorf("append to stream %q: %w: %w", stream, ErrUnknown, err)
	}
	return a.Offset, nil
}

// Read returns records from offset on, waiting up to wait for the first one.
// Errors wrap ErrTruncated, with First and Next of the page set, or
// ErrUnavailable.
func (l *LogClient) Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := fmt.Sprintf("?from=%d&wait_ms=%d", from, max(wait, 0).Milliseconds())
	resp, err := httpcall.Do(ctx, l.http, httpcall.Request{Method: http.MethodGet, URL: l.recordsURL(stream) + query}, maxAnswerBytes)
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
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func lostOrUnsent(err error) error {
	var e *httpcall.Error
	if errors.As(err, &e) && !e.Sent {
		return ErrUnavailable
	}
	return ErrUnknown
}

// refusedOrUnknown maps the status of a failed append: the service promises
// no effect with 4xx and 503 and nothing with any other.
func refusedOrUnknown(status int) error {
	if status == http.StatusServiceUnavailable || (status >= 400 && status < 500) {
		return ErrUnavailable
	}
	return ErrUnknown
}

func orOwnClient(c *http.Client) *http.Client {
	if c != nil {
		return c
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
}
