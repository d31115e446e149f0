package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// callerTime is how long a caller waits for an answer.
const callerTime = 3 * time.Second

var lastID atomic.Int64

// call is one request of a caller and what it got.
type call struct {
	id, method, target, key, body string
	// wait is how long the caller waits; zero means callerTime.
	wait time.Duration
	// tokens is the value of Token-Counts; empty for none.
	tokens string
	sentAt time.Time
	// status is zero if no answer came. whole is true if the answer was complete.
	status int
	whole  bool
	answer string
}

// send sends a request over a new connection to a process and reads the answer.
func send(h *host, method, target, key, body string) *call {
	return (&call{method: method, target: target, key: key, body: body}).sendTo(h)
}

// sendTokens sends a request like send, with numbers of tokens.
func sendTokens(h *host, method, target, key, body string, prompt, output int) *call {
	return (&call{method: method, target: target, key: key, body: body, tokens: fmt.Sprintf("%d,%d", prompt, output)}).sendTo(h)
}

func (c *call) sendTo(h *host) *call {
	c.id, c.sentAt = fmt.Sprintf("c%06d", lastID.Add(1)), time.Now()
	conn, err := net.DialTimeout("tcp", h.settings.Listen.Front, time.Second)
	if err != nil {
		return c
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(c.sentAt.Add(cmp.Or(c.wait, callerTime)))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return c
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return c
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	c.status, c.whole, c.answer = resp.StatusCode, err == nil, string(answer)
	return c
}

// text returns the bytes of the request.
func (c *call) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\n", c.method, c.target, standin.Host, c.id, cmp.Or(c.wait, callerTime).Milliseconds())
	if c.key != "" {
		head += "X-Api-Key: " + c.key + "\r\n"
	}
	if c.tokens != "" {
		head += "Token-Counts: " + c.tokens + "\r\n"
	}
	if c.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return head + "\r\n" + c.body
}

func (c *call) String() string {
	return fmt.Sprintf("%s %s %s key %q: %d, whole %t, %q", c.id, c.method, c.target, c.key, c.status, c.whole, c.answer)
}
