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
	headerRequestID  = "Bluebell-Request-Id"
	headerTier       = "Bluebell-Tier"
	headerKey        = "Idempotency-Key"
	maxResponseBytes = 32 << 20
)

// KindConnectionLost is the kind of a call whose request could not be sent, or whose
// response is missing, invalid or incomplete. The system never sends this kind.
const KindConnectionLost errkind.Kind = "connection_lost"

// Request is a request from a caller.
type Request struct {
	// Name identifies the request in reports.
	Name string
	// CustomerKey is the customer's API key, sent as the bearer token.
	CustomerKey string
	Service     string
	// Operation is the operation of a plain service; empty for a generation.
	Operation string
	// Body is the prompt of a generation or the JSON body of an operation.
	Body      string
	MaxTokens int
	Tier      string
	// Key is the idempotency key; empty means none.
	Key string
	// Deadline is sent with generations only; zero means that none is sent.
	Deadline time.Duration
	// Raw, if not empty, is sent as the body of a generation in place of the JSON
	// built from the other fields.
	Raw string
}

// Call is a sent request and its result so far.
type Call struct {
	Request Request
	Host    string
	cancel  context.CancelFunc
	done    chan struct{}

	mu           sync.Mutex
	result       Result
	disconnected bool
}

// Result is what a caller has received.
type Result struct {
	// ID is the request ID; empty until the gate has sent it.
	ID tables.RequestID
	// Text is the answer so far, and Tokens the number of its tokens. Tokens is
	// zero for operations.
	Text   string
	Tokens int
	// Complete is set when the complete answer was received.
	Complete bool
	// Kind, Ran and Detail describe a refusal or failure.
	Kind       errkind.Kind
	Ran        errkind.RanState
	Detail     string
	Status     int
	RetryAfter time.Duration
	// Sent, FirstByte and Ended are times by the caller's clock. FirstByte is the
	// arrival of the first token event, or of the complete answer of an operation.
	Sent      time.Time
	FirstByte time.Time
	Ended     time.Time
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// Send sends r to a host and returns without waiting for the response.
func (h *Harness) Send(hostName string, r Request) (*Call, error) {
	host, err := h.Host(hostName)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Call{Request: r, Host: hostName, cancel: cancel, done: make(chan struct{})}
	c.result.Sent = time.Now()
	h.mu.Lock()
	h.calls = append(h.calls, c)
	h.mu.Unlock()
	go c.run(ctx, h.callerClient, "http://"+host.CallerAddress())
	return c, nil
}

// Calls returns all calls that were sent so far.
func (h *Harness) Calls() []*Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Call(nil), h.calls...)
}

// Result returns the result so far.
func (c *Call) Result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.result
}

// Done returns a channel that is closed when the result is final.
func (c *Call) Done() <-chan struct{} { return c.done }

// Disconnect closes the caller's connection.
func (c *Call) Disconnect() {
	c.mu.Lock()
	c.disconnected = true
	c.mu.Unlock()
	c.cancel()
}

// Disconnected reports whether Disconnect was called.
func (c *Call) Disconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
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
	req, err := c.Request.newHTTPRequest(c.withInterimIDTrace(ctx), base)
	if err != nil {
		c.connectionLost(err)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		c.connectionLost(err)
		return
	}
	defer resp.Body.Close()
	c.setID(resp.Header.Get(headerRequestID))
	c.update(func(r *Result) { r.Status = resp.StatusCode })
	c.readResponse(resp)
}

// withInterimIDTrace returns a context that makes the HTTP client set the request ID
// from an interim (1xx) response.
func (c *Call) withInterimIDTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			c.setID(header.Get(headerRequestID))
			return nil
		},
	})
}

func (c *Call) setID(id string) {
	if id != "" {
		c.update(func(r *Result) { r.ID = tables.RequestID(id) })
	}
}

func (c *Call) connectionLost(err error) {
	c.update(func(r *Result) {
		r.Kind = KindConnectionLost
		r.Ran = errkind.RanUnknown
		r.Detail = err.Error()
	})
}

func (r Request) newHTTPRequest(ctx context.Context, base string) (*http.Request, error) {
	path, body, err := r.pathAndBody()
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

func (r Request) pathAndBody() (path string, body []byte, err error) {
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

// problem is the JSON body of an error response and the data of an error event.
type problem struct {
	Kind         errkind.Kind     `json:"kind"`
	Ran          errkind.RanState `json:"ran"`
	Detail       string           `json:"detail"`
	RetryAfterMs int64            `json:"retry_after_ms"`
}

func (c *Call) readResponse(resp *http.Response) {
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
	body, err := httpcall.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		c.connectionLost(err)
		return
	}
	c.update(func(r *Result) {
		r.FirstByte = time.Now()
		r.Text = string(body)
		r.Complete = true
	})
}

func (c *Call) readProblem(resp *http.Response) {
	body, err := httpcall.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		c.connectionLost(err)
		return
	}
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		c.connectionLost(fmt.Errorf("status %d with body %q, which is not a problem document", resp.StatusCode, body))
		return
	}
	c.setProblem(p)
}

func (c *Call) setProblem(p problem) {
	c.update(func(r *Result) {
		r.Kind = p.Kind
		r.Ran = p.Ran
		r.Detail = p.Detail
		r.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	})
}
