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
	// streamEvents is the number of events of a stream, streamPause the time
	// between them.
	streamEvents = 12
	streamPause  = 15 * time.Millisecond
	plainPause   = 10 * time.Millisecond
	// leaves is the share of callers who leave before their answer is whole, kept
	// that of posts on connections that were used before.
	leaves = 0.03
	kept   = 0.5
)

// call is one request and what its caller got.
type call struct {
	path string
	host *host
	// kept calls use open connections.
	kept   bool
	start  int
	sent   time.Time
	left   bool
	answer standin.Response
}

// load sends requests at a rate to random hosts and keeps what came of them.
type load struct {
	hosts []*host

	mu    sync.Mutex
	calls []*call
	going sync.WaitGroup
}

var paths = []string{standin.StreamPath, standin.NonResumablePath, standin.SubmitPath, standin.LookupPath, standin.AddedPath}

// run sends until ctx ends and waits for the answers.
func (l *load) run(ctx context.Context, perSecond float64, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		c := &call{path: paths[random.IntN(len(paths))], host: l.hosts[random.IntN(len(l.hosts))], sent: time.Now()}
		c.start, _ = c.host.state()
		c.kept = random.Float64() < kept
		patience := time.Duration(0)
		if random.Float64() < leaves {
			c.left = true
			patience = time.Duration(random.IntN(200)) * time.Millisecond
		}
		l.going.Add(1)
		go l.send(c, patience)
	}
	l.going.Wait()
}

// send makes one call; a caller with some patience leaves after it.
func (l *load) send(c *call, patience time.Duration) {
	defer l.going.Done()
	ctx := context.Background()
	if patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	request := standin.Call{Method: http.MethodPost, Path: c.path + "x", Key: standin.Key, Tokens: "100,50", Body: "body"}
	switch {
	case c.path == standin.LookupPath || c.path == standin.AddedPath:
		// net/http itself sends a GET again whose kept connection was closed.
		request = standin.Call{Method: http.MethodGet, Path: c.path + "x", Key: standin.Key}
	case c.kept:
		request.Transport = c.host.callers
	}
	c.answer = request.Do(ctx, c.host.front.address())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}
