package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Window describes the load of one claim shard and the way in which its claims
// are grouped.
type Window struct {
	// ClaimsPerSecond arrive at the shard; each gets an outcome a second later.
	ClaimsPerSecond float64
	// Append is the latency of one append; half of it passes before the record
	// can be read.
	Append time.Duration
	// Wait is the fixed window that the first claim of a batch waits.
	Wait time.Duration
	// AppendsPerSecond bounds the appends of the shard; zero means no bound.
	AppendsPerSecond float64
}

// WindowResult is what a Window gives.
type WindowResult struct {
	// Median and P99 are the times from ask to answer.
	Median, P99 time.Duration
	// AppendsPerSecond and BytesPerSecond are those of the shard; bytes are
	// those of the records in the log's JSON.
	AppendsPerSecond float64
	BytesPerSecond   float64
}

const (
	windowDuration = 5 * time.Minute
	runTime        = time.Second
	// recordFrame is the JSON round a record in a page of the log.
	recordFrame = len(`{"offset":1234567,"time":"2026-01-01T00:00:00.123456789Z","data":""},`)
)

// windowRun is one shard under steady load.
type windowRun struct {
	Window
	w        *world
	shard    *claim.Shard
	asked    map[claim.Ticket]time.Time
	requests map[claim.Ticket]claim.AcquireRequest
	took     []time.Duration
	appends  int
	bytes    int
	// opened is when the first waiting claim came; zero when none waits.
	opened time.Time
	next   time.Time
	polled bool
}

// ClaimTimes plays a shard under steady load and returns the times of its claims
// in order of their end.
func ClaimTimes(seed uint64, win Window) []time.Duration {
	return playWindow(seed, win).took
}

// MeasureWindow plays a shard under steady load in virtual time.
func MeasureWindow(seed uint64, win Window) WindowResult {
	r := playWindow(seed, win)
	slices.Sort(r.took)
	return WindowResult{
		Median:           r.took[len(r.took)/2],
		P99:              r.took[len(r.took)*99/100],
		AppendsPerSecond: float64(r.appends) / windowDuration.Seconds(),
		BytesPerSecond:   float64(r.bytes) / windowDuration.Seconds(),
	}
}

func playWindow(seed uint64, win Window) *windowRun {
	r := &windowRun{
		Window: win,
		w:      &world{sim: newSim(seed)},
		shard: claim.NewShard(claim.Settings{
			Limits: claim.Limits{Window: time.Hour, Skew: time.Second},
			Host:   "host-a", Incarnation: epoch.UnixNano(), AppendGrace: time.Minute, MaxBackoff: time.Second,
			StallTimeout: time.Minute, OutcomeDelay: 250 * time.Millisecond,
		}, &claim.Sequences{}),
		asked:    make(map[claim.Ticket]time.Time),
		requests: make(map[claim.Ticket]claim.AcquireRequest),
	}
	r.arrive()
	r.w.sim.run(epoch.Add(windowDuration))
	return r
}

func (r *windowRun) arrive() {
	gap := time.Duration(r.w.sim.rng.ExpFloat64() / r.ClaimsPerSecond * float64(time.Second))
	r.w.sim.after(gap, func() {
		now := r.w.sim.time
		host := tables.HostID(fmt.Sprintf("host-%d", r.w.sim.rng.IntN(13)))
		ask := claim.AcquireRequest{
			Key:         claim.Key{Customer: "customer", Service: "service", ID: r.w.newID(now)},
			Request:     tables.NewRequestID(host, r.w.newID(now)),
			Fingerprint: tables.Fingerprint(r.w.sim.rng.Uint64()),
			Deadline:    now.Add(time.Minute),
		}
		t := r.shard.Acquire(now, ask)
		r.asked[t] = now
		r.requests[t] = ask
		if r.opened.IsZero() {
			r.opened = now
		}
		r.poll()
		r.arrive()
	})
}

// poll sends the next batch when its time has come, and else comes back.
func (r *windowRun) poll() {
	now := r.w.sim.time
	due, waits := r.shard.NextDue()
	if !waits {
		return
	}
	if !r.opened.IsZero() {
		due = later(due, r.opened.Add(r.Wait))
	}
	due = later(due, r.next)
	if now.Before(due) {
		if !r.polled {
			r.polled = true
			r.w.sim.after(due.Sub(now), func() {
				r.polled = false
				r.poll()
			})
		}
		return
	}
	r.send(now)
}

func (r *windowRun) send(now time.Time) {
	b, ok := r.shard.NextBatch(now)
	if !ok {
		return
	}
	data, err := b.Encode()
	if err != nil {
		panic(fmt.Sprintf("batch %d: %v", b.Number, err))
	}
	r.appends++
	r.bytes += recordFrame + (len(data)+2)/3*4
	r.opened = time.Time{}
	if r.AppendsPerSecond > 0 {
		r.next = now.Add(time.Duration(float64(time.Second) / r.AppendsPerSecond))
	}
	r.w.sim.after(r.Append/2, func() { r.read(b) })
	r.w.sim.after(r.Append, func() {
		r.shard.AppendDone(r.w.sim.time, b.Number, claim.Appended)
		r.poll()
	})
}

func (r *windowRun) read(b claim.Batch) {
	now := r.w.sim.time
	r.shard.ReadRecord(now, int64(r.appends), now, b)
	r.shard.Decide(now)
	for _, s := range r.shard.TakeCompleted() {
		asked, ok := r.asked[s.Ticket]
		if !ok {
			continue
		}
		r.took = append(r.took, now.Sub(asked))
		ask := r.requests[s.Ticket]
		delete(r.asked, s.Ticket)
		delete(r.requests, s.Ticket)
		r.w.sim.after(runTime, func() {
			r.shard.Record(r.w.sim.time, claim.Outcome{Key: ask.Key, Request: ask.Request, Kind: errkind.None, Target: "target-1", Status: 200})
			r.poll()
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the result as cells of a Markdown table.
func (r WindowResult) String() string {
	return fmt.Sprintf("%d ms | %d ms | %.1f | %.0f",
		r.Median.Milliseconds(), r.P99.Milliseconds(), r.AppendsPerSecond, math.Round(r.BytesPerSecond))
}
