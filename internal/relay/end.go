package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
)

const (
	// firstProbeAfter is the time from the end of an answer without a length to the first probe
	// of its target: a later start may take connections soon.
	firstProbeAfter = 5 * time.Millisecond
	// endSettle is the time to the second probe, and between further ones: a process that ends
	// may close its listener some milliseconds after its connections.
	endSettle = 40 * time.Millisecond
	// minHeardAfter is the time from the end of an answer from which on bytes that the target
	// sends to others show that it lives: before that they may have been under way.
	minHeardAfter = 25 * time.Millisecond
	// probeHold is how long a probe stays open: a proxy without its server closes it within
	// that time.
	probeHold = 20 * time.Millisecond
	// maxEndProbes bounds the probes of one end. A target may reset a connection because it has
	// too many, and the first packet of one may be lost.
	maxEndProbes = 4
	// maxStaleWait bounds the wait for the entries of targets after a stall of the process, and
	// staleInterval is the time between two looks.
	maxStaleWait  = 500 * time.Millisecond
	staleInterval = 10 * time.Millisecond
)

// endProbes probes targets after the end of answers without a length. Answers of one target
// that end at the same time share their probes. It is safe for concurrent use.
type endProbes struct {
	mu sync.Mutex
	// running holds the probes of an address that have not ended, in the order of their begin.
	running map[string][]*endProbe
	replies endReplies
}

// endProbe is a series of probes of one target. result, that of the last one, and heardAt may
// be read once done is closed.
type endProbe struct {
	// firstAt is when the first probe begins.
	firstAt time.Time
	done    chan struct{}
	result  answerend.Probe
	// heardAt is when the target last sent something meanwhile; zero if it did not.
	heardAt time.Time
}

// probe returns the probes of a target for an answer that ends now, and whether the caller must
// run them.
func (p *endProbes) probe(now time.Time, address string) (probe *endProbe, run bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.running[address]
	if n := len(running); n > 0 && !running[n-1].firstAt.Before(now) {
		return running[n-1], false
	}
	probe = &endProbe{firstAt: now.Add(firstProbeAfter), done: make(chan struct{})}
	if p.running == nil {
		p.running = make(map[string][]*endProbe)
	}
	p.running[address] = append(running, probe)
	return probe, true
}

// heard records that a target has sent something.
func (p *endProbes) heard(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, probe := range p.running[address] {
		probe.heardAt = now
	}
}

// finish ends a probe.
func (p *endProbes) finish(address string, probe *endProbe, result answerend.Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[address] = slices.DeleteFunc(p.running[address], func(other *endProbe) bool { return other == probe })
	if len(p.running[address]) == 0 {
		delete(p.running, address)
	}
	probe.result = result
	close(probe.done)
}

// run probes a target until it tells whether the target lives. The first probe can only tell that
// it does not: the process may be about to end.
func (p *endProbes) run(clock clockwork.Clock, targets Targets, t fleet.Target, probe *endProbe) {
	// The result counts for several requests, which may end before it is known.
	ctx := context.Background()
	clock.Sleep(firstProbeAfter)
	result := targets.ProbeEnd(ctx, t, 0)
	wait := endSettle - firstProbeAfter
	for range maxEndProbes - 1 {
		if result.Ended() {
			break
		}
		clock.Sleep(wait)
		wait = endSettle
		result = p.replies.ask(ctx, clock, targets, t)
		if result == answerend.Accepted {
			break
		}
	}
	p.finish(t.Address, probe, result)
}

// judgeEnd waits for the evidence of how an answer without a length has ended, to a request that
// was sent at begunAt. It returns io.EOF if it is whole, and an error that wraps
// edge.ErrEndInDoubt if the target may have ended in the middle of it.
func (r *Router) judgeEnd(ctx context.Context, t fleet.Target, request string, begunAt time.Time) error {
	endedAt := r.Clock.Now()
	verdict, decisive, err := r.awaitVerdict(ctx, t, begunAt)
	if err != nil {
		return err
	}
	if r.OnEndJudged != nil {
		r.OnEndJudged(verdict, decisive)
	}
	if verdict == answerend.Whole {
		return io.EOF
	}
	event.AnswerEndInDoubt.Log(r.Logger, zap.String("request", request), zap.String("target", string(t.ID)),
		zap.String("evidence", decisive), zap.Duration("after", r.Clock.Now().Sub(endedAt)))
	return fmt.Errorf("%w: %s", edge.ErrEndInDoubt, decisive)
}

// confirmEnd returns io.EOF for the regular end of an answer in chunks, or an error that wraps
// edge.ErrEndUnconfirmed if its target was leaving and its process has ended as well: a target
// that stops may close its chunks in the middle of the answer.
func (r *Router) confirmEnd(ctx context.Context, t fleet.Target, begunAt time.Time) error {
	if !r.leavesOrLeft(t) {
		return io.EOF
	}
	verdict, decisive, err := r.awaitVerdict(ctx, t, begunAt)
	switch {
	case errors.Is(err, context.Canceled):
		// The answer is whole for a caller that has left meanwhile, too.
		return io.EOF
	case err != nil:
		return fmt.Errorf("%w: %w", edge.ErrEndUnconfirmed, err)
	case verdict == answerend.Whole:
		return io.EOF
	default:
		return fmt.Errorf("%w: %s", edge.ErrEndUnconfirmed, decisive)
	}
}

// leavesOrLeft reports whether a target is listed as leaving, with another start, or not at all.
func (r *Router) leavesOrLeft(t fleet.Target) bool {
	listed, known := r.Target(t.ID)
	return !known || listed.Leaving || r.isReplaced(t)
}

// awaitVerdict waits for the evidence of how an answer that ends now has ended, to a request that
// was sent at begunAt. Its error is that of ctx.
func (r *Router) awaitVerdict(ctx context.Context, t fleet.Target, begunAt time.Time) (v answerend.Verdict, decisive string, err error) {
	endedAt := r.Clock.Now()
	probe, run := r.ends.probe(endedAt, t.Address)
	if run {
		go r.ends.run(r.Clock, r.Targets, t, probe)
	}
	select {
	case <-ctx.Done():
		return v, "", context.Cause(ctx)
	case <-probe.done:
	}
	stale := r.awaitEntries(ctx, begunAt)
	v, decisive = answerend.Judge(answerend.Evidence{
		Probe: probe.result, Heard: probe.heardAt.Sub(endedAt) >= minHeardAfter, Replaced: r.isReplaced(t), Stale: stale,
	})
	return v, decisive, nil
}

// awaitEntries waits until this host knows how targets are listed, if its process has stalled since
// a time, maxStaleWait has passed or ctx ends. It reports whether the host still does not know.
func (r *Router) awaitEntries(ctx context.Context, since time.Time) (stale bool) {
	if r.Stale == nil {
		return false
	}
	deadline := r.Clock.Now().Add(maxStaleWait)
	for r.Stale(since) {
		if ctx.Err() != nil || !r.Clock.Now().Before(deadline) {
			return true
		}
		r.Clock.Sleep(staleInterval)
	}
	return false
}

// isReplaced reports whether the target that answered, whose start may be unknown, is listed with
// another address or a later start, or another target that started later has its address.
func (r *Router) isReplaced(answered fleet.Target) bool {
	isLater := func(listed fleet.Target) bool {
		return !answered.StartedAt.IsZero() && listed.StartedAt.After(answered.StartedAt)
	}
	if listed, known := r.Target(answered.ID); known && (listed.Address != answered.Address || isLater(listed)) {
		return true
	}
	return slices.ContainsFunc(r.Listed(), func(listed fleet.Target) bool {
		return listed.Address == answered.Address && isLater(listed)
	})
}

// judgedBody is the body of an answer whose end is judged: it tells the end of the answer from
// that of the target's process.
type judgedBody struct {
	io.ReadCloser
	judge func() error
	// ended is true once the connection has ended, and end is how the answer has.
	ended bool
	end   error
}

// Read implements io.Reader.
func (b *judgedBody) Read(p []byte) (int, error) {
	if !b.ended {
		n, err := b.ReadCloser.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		b.ended = true
		if n > 0 {
			// The last bytes do not wait for the end.
			return n, nil
		}
	}
	if b.end == nil {
		b.end = b.judge()
	}
	return 0, b.end
}
