package faultsoak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// maxResumptions is how often a caller takes up a stream.
const maxResumptions = 2

// drawOtherHosts draws the hosts at which a caller takes up a stream, each time another
// one than before if there is another.
func (l *loadGenerator) drawOtherHosts(h *host, rng *rand.Rand) []*host {
	out := make([]*host, 0, maxResumptions)
	for range maxResumptions {
		next := l.hosts[rng.IntN(len(l.hosts))]
		for next == h && len(l.hosts) > 1 {
			next = l.hosts[rng.IntN(len(l.hosts))]
		}
		out = append(out, next)
		h = next
	}
	return out
}

// stream makes a call for a stream and takes it up at other hosts if it breaks off.
func (l *loadGenerator) stream(ctx context.Context, c *call, request standin.Call) {
	s := &standin.Stream{Call: request}
	c.response = s.Send(ctx, c.host.frontProxy.address())
	l.record(c)
	if !c.http10 {
		s.Call.Transport = nil
	}
	for _, h := range c.resumeAt {
		if !brokenOff(s) {
			break
		}
		next := &call{path: c.path, host: h, sentAt: time.Now(), received: lastEvent(s), http10: c.http10}
		next.incarnation, _ = h.Status()
		next.response = s.Send(context.Background(), h.frontProxy.address())
		l.record(next)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, s)
}

// brokenOff reports whether a stream has begun and lacks events.
func brokenOff(s *standin.Stream) bool {
	last := lastEvent(s)
	return last > 0 && last < streamEvents
}

// lastEvent returns the number of the last event received; zero if none.
func lastEvent(s *standin.Stream) int {
	n, err := strconv.Atoi(s.LastEventID())
	if err != nil {
		return 0
	}
	return n
}

// countResumed returns how many streams that may be resumed were taken up and how many
// of these have all events.
func countResumed(streams []*standin.Stream) (resumed, wentOn int) {
	for _, s := range streams {
		if len(s.Attempts) < 2 || !strings.HasPrefix(s.Call.Path, standin.StreamPath) {
			continue
		}
		resumed++
		if s.Body() == standin.StreamBody(streamEvents) {
			wentOn++
		}
	}
	return resumed, wentOn
}
