package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	headerRequestID = "Bluebell-Request-Id"
	headerTier      = "Bluebell-Tier"
	headerKey       = "Idempotency-Key"
	maxAnswerBytes  = 32 << 20
)

// KindConnectionLost is the caller's own word for an answer that broke off
// without one of the system's kinds.
const KindConnectionLost errkind.Kind = "connection_lost"

// Request is what a caller sends.
type Request struct {
	// Name tells the request from others in reports.
	Name string
	// CustomerKey is the bearer key.
	CustomerKey string
	Service     string
	// Operation is set for a call of a plain service.
	Operation string
	// Body is the prompt of a generation or the JSON body of an operation.
	Body      string
	MaxTokens int
	Tier      string
	// Key is the idempotency key.
	Key      string
	Deadline time.Duration
	// Raw replaces the JSON body of a generation.
	Raw string
}

// Call is a request that was sent and what has come back.
type Call struct {
	Request Request
	Host    string
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	result Result
	left   bool
}

// Result is what a caller has seen.
type Result struct {
	// ID is the request ID; empty before the gate has told it.
	ID tables.RequestID
	// Text and Tokens are the answer so far.
	Text   string
	Tokens int
	// Whole is set when the answer came to its end.
	Whole bool
	// Kind, Ran and Detail tell of a refusal or failure.
	Kind       errkind.Kind
	Ran        errkind.RanState
	Detail     string
	Status     int
	RetryAfter time.Duration
	// Sent, FirstByte and Ended are times of the caller's clock.
	Sent      time.Time
	FirstByte time.Time
	Ended     time.Time
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// Send sends r to a host and returns at once.
func (h *Harness) Send(host string, r Request) (*Call, error) {
	target, err := h.Host(host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Call{Request: r, Host: host, cancel: cancel, done: make(chan struct{})}
	c.result.Sent = time.Now()
	h.mu.Lock()
	h.calls = append(h.calls, c)
	h.mu.Unlock()
	go c.run(ctx, h.callers, "http://"+target.CallerAddress())
	return c, nil
}

// Calls returns every call so far.
func (h *Harness) Calls() []*Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Call(nil), h.calls...)
}

// Result returns what has come back so far.
func (c *Call) Result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.result
}

// Done is closed when nothing more will come.
func (c *Call) Done() <-chan struct{} { return c.done }

// Leave closes the caller's connection.
func (c *Call) Leave() {
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	c.cancel()
}

// Left reports whether the caller closed its connection itself.
func (c *Call) Left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

func (c *Call) update(edit func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&c.result)
}

func (c *Call) run(ctx context.Context, client *http.Client, base string) {
	defer close(c.done)
	defer c.cancel()
	defer c.update(func(r *Result) { r.Ended = time.Now() })
	req, err := c.Request.build(c.trace(ctx), base)
	if err != nil {
		c.lost(err)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		c.lost(err)
		return
	}
	defer resp.Body.Close()
	c.learnID(resp.Header.Get(headerRequestID))
	c.update(func(r *Result) { r.Status = resp.StatusCode })
	c.read(resp)
}

// trace learns the request ID from the interim response.
func (c *Call) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			c.learnID(header.Get(headerRequestID))
			return nil
		},
	})
}

func (c *Call) learnID(id string) {
	if id != "" {
		c.update(func(r *Result) { r.ID = tables.RequestID(id) })
	}
}

func (c *Call) lost(err error) {
	c.update(func(r *Result) {
		r.Kind = KindConnectionLost
		r.Ran = errkind.RanUnknown
		r.Detail = err.Error()
	})
}

func (r Request) build(ctx context.Context, base string) (*http.Request, error) {
	path, body, err := r.content()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.CustomerKey)
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
	}
	if r.Operation != "" && r.Tier != "" {
		req.Header.Set(headerTier, r.Tier)
	}
	return req, nil
}

// generateBody is the JSON body of a generation.
type generateBody struct {
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens,omitempty"`
	Tier           string `json:"tier,omitempty"`
	DeadlineMillis int64  `json:"deadline_ms,omitempty"`
}

func (r Request) content() (path string, body []byte, err error) {
	service := "/v1/services/" + url.PathEscape(r.Service)
	if r.Operation != "" {
		return service + "/operations/" + url.PathEscape(r.Operation), []byte(r.Body), nil
	}
	if r.Raw != "" {
		return service + "/generate", []byte(r.Raw), nil
	}
	body, err = json.Marshal(generateBody{
		Prompt: r.Body, MaxTokens: r.MaxTokens, Tier: r.Tier, DeadlineMillis: r.Deadline.Milliseconds(),
	})
	return service + "/generate", body, err
}

// problem is the JSON body of a refusal.
type problem struct {
	Kind         errkind.Kind     `json:"kind"`
	Ran          errkind.RanState `json:"ran"`
	Detail       string           `json:"detail"`
	RetryAfterMs int64            `json:"retry_after_ms"`
}

func (c *Call) read(resp *http.Response) {
	switch {
	case resp.StatusCode != http.StatusOK:
		c.readProblem(resp)
	case c.Request.Operation != "":
		c.readAnswer(resp)
	default:
		c.readStream(resp.Body)
	}
}

func (c *Call) readAnswer(resp *http.Response) {
	body, err := httpcall.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		c.lost(err)
		return
	}
	c.update(func(r *Result) {
		r.FirstByte = time.Now()
		r.Text = string(body)
		r.Whole = true
	})
}

func (c *Call) readProblem(resp *http.Response) {
	body, err := httpcall.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		c.lost(err)
		return
	}
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		c.lost(fmt.Errorf("status %d with body %q, which is no problem", resp.StatusCode, body))
		return
	}
	c.fail(p)
}

func (c *Call) fail(p problem) {
	c.update(func(r *Result) {
		r.Kind = p.Kind
		r.Ran = p.Ran
		r.Detail = p.Detail
		r.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	})
}
