package faultsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// streamEvents is the number of events of a stream.
	streamEvents      = 12
	streamEventGap    = 15 * time.Millisecond
	plainResponseTime = 10 * time.Millisecond
	// abandonedShare is the fraction of calls with a random timeout, after which the
	// caller disconnects.
	abandonedShare = 0.03
	keepAliveShare = 0.5
)

// call is a request and the response that its caller received.
type call struct {
	path string
	host *host
	// keepAlive is set if a POST request should reuse an open connection.
	keepAlive bool
	// http10 is set if the request is sent with HTTP/1.0.
	http10      bool
	incarnation int
	sentAt      time.Time
	abandoned   bool
	response    standin.Response
	// received is the number of events of the stream that the caller had before.
	received int
	// resumeAt are the hosts at which the caller takes up the stream if it breaks off.
	resumeAt []*host
}

// loadGenerator sends requests to random hosts and records the calls.
type loadGenerator struct {
	hosts []*host
	// resumeRNG draws the hosts at which callers take up streams. It was added later
	// and leaves the calls of a seed as they were.
	resumeRNG *rand.Rand
	// http10RNG draws the calls with HTTP/1.0, and takeUpRNG the hosts at which callers
	// take up streams that may not be resumed. They are nil without Options.StreamEnds.
	http10RNG, takeUpRNG *rand.Rand

	mu       sync.Mutex
	calls    []*call
	streams  []*standin.Stream
	inFlight sync.WaitGroup
}

var paths = []string{standin.StreamPath, standin.NonResumablePath, standin.SubmitPath, standin.LookupPath, standin.AddedPath}

// run sends requests at a mean rate of perSecond until ctx is done, then waits for
// all calls to complete.
func (l *loadGenerator) run(ctx context.Context, perSecond float64, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		c := &call{path: paths[rng.IntN(len(paths))], host: l.hosts[rng.IntN(len(l.hosts))], sentAt: time.Now()}
		c.incarnation, _ = c.host.Status()
		c.keepAlive = rng.Float64() < keepAliveShare
		timeout := time.Duration(0)
		if rng.Float64() < abandonedShare {
			c.abandoned = true
			timeout = time.Duration(rng.IntN(200)) * time.Millisecond
		}
		if c.path == standin.StreamPath {
			c.resumeAt = l.drawOtherHosts(c.host, l.resumeRNG)
		}
		if c.path == standin.NonResumablePath && l.takeUpRNG != nil {
			c.resumeAt = l.drawOtherHosts(c.host, l.takeUpRNG)
		}
		c.http10 = c.isStream() && l.http10RNG != nil && l.http10RNG.Float64() < http10Share
		l.inFlight.Add(1)
		go l.send(c, timeout)
	}
	l.inFlight.Wait()
}

// send makes a call and records it. With a positive timeout the caller disconnects
// when the timeout expires.
func (l *loadGenerator) send(c *call, timeout time.Duration) {
	defer l.inFlight.Done()
	ctx := context.Background()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	request := standin.Call{Method: http.MethodPost, Path: c.path + "x", Key: standin.Key, Tokens: "100,50", Body: "body"}
	switch {
	case c.path == standin.LookupPath || c.path == standin.AddedPath:
		// Each GET request uses a new connection, because net/http itself retries a
		// GET request if a reused connection was closed.
		request = standin.Call{Method: http.MethodGet, Path: c.path + "x", Key: standin.Key}
	case c.http10:
		request.Transport = standin.HTTP10Transport{}
	case c.keepAlive:
		request.Transport = c.host.keepAliveTransport
	}
	if len(c.resumeAt) > 0 {
		l.stream(ctx, c, request)
		return
	}
	c.response = request.Do(ctx, c.host.frontProxy.address())
	l.record(c)
}

func (l *loadGenerator) record(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}
