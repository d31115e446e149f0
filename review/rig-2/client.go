package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// usualDeadline is how long clients wait, as those of the plain service of smalt-desk.
const usualDeadline = 2500 * time.Millisecond

var lastRequest atomic.Int64

// answer is what a client got for one attempt.
type answer struct {
	request string
	sentAt  time.Time
	// status is zero if there was no answer, which is then ended at endedAt.
	status     int
	endedAt    time.Time
	retryAfter time.Duration
}

// send sends one attempt to a host over a new connection.
func (c *cluster) send(h *host, method, path string) answer {
	return c.sendWithin(usualDeadline, h, method, path)
}

// sendWithin sends one attempt with a deadline.
func (c *cluster) sendWithin(deadline time.Duration, h *host, method, path string) answer {
	a := answer{request: fmt.Sprintf("%016x", lastRequest.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.Listen.Front+path, nil)
	if err != nil {
		panic("rig-2: request: " + err.Error())
	}
	req.Host = standin.Host
	req.Header.Set("Request-Id", a.request)
	req.Header.Set("Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Api-Key", standin.Key)
	c.record.line("request %s (%s) sent to %s", a.request, path, h.Name)
	transport := standin.NewSingleUseTransport()
	resp, err := transport.RoundTrip(req)
	a.endedAt = time.Now()
	if err != nil {
		c.record.line("request %s: no answer: %v", a.request, err)
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	if s, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	text := ""
	if resp.StatusCode >= http.StatusBadRequest {
		text = string(body)
	}
	c.record.line("request %s: status %d, whole %t %s", a.request, a.status, err == nil, text)
	return a
}

// anyHost returns a host at random.
func (c *cluster) anyHost() *host { return c.hosts[rand.IntN(len(c.hosts))] }
