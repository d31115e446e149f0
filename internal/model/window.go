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

// ShardConfig describes the load of one claim shard and how its claims are batched.
type ShardConfig struct {
	// ClaimsPerSecond is the rate of new claims. An outcome is recorded for each claim one
	// second after its result.
	ClaimsPerSecond float64
	// AppendLatency is the latency of an append. The record can be read after half of it.
	AppendLatency time.Duration
	// BatchDelay is the minimum time from the first claim of a batch to its append.
	BatchDelay time.Duration
	// AppendsPerSecond is the maximum rate of appends; zero means unlimited.
	AppendsPerSecond float64
}

// ShardResult is the result of simulating a ShardConfig.
type ShardResult struct {
	// Median and P99 are percentiles of the time from an acquire call to its result.
	Median, P99 time.Duration
	// AppendsPerSecond and BytesPerSecond are the load on the log. The bytes are those of
	// the records in the log's JSON.
	AppendsPerSecond float64
	BytesPerSecond   float64
}

const (
	shardSimDuration = 5 * time.Minute
	// requestDuration is the time from the result of a claim to the outcome of its request.
	requestDuration = time.Second
	// recordOverhead is the size of the JSON around the data of a record.
	recordOverhead = len(`{"offset":1234567,"time":"2026-01-01T00:00:00.123456789Z","data":""},`)
)

// shardSim is a simulation of one shard under constant load.
type shardSim struct {
	ShardConfig
	w     *world
	shard *claim.Shard
	// requestedAt holds the times of acquire calls without a result.
	requestedAt map[claim.Ticket]time.Time
	requests    map[claim.Ticket]claim.AcquireRequest
	durations   []time.Duration
	appends     int
	bytes       int
	// batchOpenedAt is the arrival of the first claim since the last batch; zero if there
	// is none.
	batchOpenedAt time.Time
	// nextAppendAt is the earliest time of the next append within AppendsPerSecond.
	nextAppendAt  time.Time
	pollScheduled bool
}

// ClaimDurations simulates a shard and returns the durations of its acquire calls in the
// order of their results.
func ClaimDurations(seed uint64, config ShardConfig) []time.Duration {
	return simulateShard(seed, config).durations
}

// MeasureShard simulates a shard in virtual time.
func MeasureShard(seed uint64, config ShardConfig) ShardResult {
	r := simulateShard(seed, config)
	slices.Sort(r.durations)
	return ShardResult{
		Median:           r.durations[len(r.durations)/2],
		P99:              r.durations[len(r.durations)*99/100],
		AppendsPerSecond: float64(r.appends) / shardSimDuration.Seconds(),
		BytesPerSecond:   float64(r.bytes) / shardSimDuration.Seconds(),
	}
}

// simulateShard runs the simulation of a shard to its end.
func simulateShard(seed uint64, config ShardConfig) *shardSim {
	r := &shardSim{
		ShardConfig: config,
		w:           &world{sim: newSim(seed)},
		shard: claim.NewShard(claim.Settings{
			Limits: claim.Limits{Window: time.Hour, Skew: time.Second},
			Host:   "host-a", Incarnation: epoch.UnixNano(), AppendGrace: time.Minute, MaxBackoff: time.Second,
			StallTimeout: time.Minute, OutcomeDelay: 250 * time.Millisecond,
		}, &claim.Sequences{}),
		requestedAt: make(map[claim.Ticket]time.Time),
		requests:    make(map[claim.Ticket]claim.AcquireRequest),
	}
	r.scheduleArrival()
	r.w.sim.run(epoch.Add(shardSimDuration))
	return r
}

// scheduleArrival schedules the next claim, with exponentially distributed interarrival
// times.
func (r *shardSim) scheduleArrival() {
	interarrival := time.Duration(r.w.sim.rng.ExpFloat64() / r.ClaimsPerSecond * float64(time.Second))
	r.w.sim.after(interarrival, func() {
		now := r.w.sim.now
		host := tables.HostID(fmt.Sprintf("host-%d", r.w.sim.rng.IntN(13)))
		acquire := claim.AcquireRequest{
			Key:         claim.Key{Customer: "customer", Service: "service", ID: r.w.newUUID(now)},
			Request:     tables.NewRequestID(host, r.w.newUUID(now)),
			Fingerprint: tables.Fingerprint(r.w.sim.rng.Uint64()),
			Deadline:    now.Add(time.Minute),
		}
		ticket := r.shard.Acquire(now, acquire)
		r.requestedAt[ticket] = now
		r.requests[ticket] = acquire
		if r.batchOpenedAt.IsZero() {
			r.batchOpenedAt = now
		}
		r.poll()
		r.scheduleArrival()
	})
}

// poll appends the next batch if it is due. Otherwise it schedules itself for the time
// at which the batch is due.
func (r *shardSim) poll() {
	now := r.w.sim.now
	due, waiting := r.shard.NextDue()
	if !waiting {
		return
	}
	if !r.batchOpenedAt.IsZero() {
		due = laterOf(due, r.batchOpenedAt.Add(r.BatchDelay))
	}
	due = laterOf(due, r.nextAppendAt)
	if now.Before(due) {
		if !r.pollScheduled {
			r.pollScheduled = true
			r.w.sim.after(due.Sub(now), func() {
				r.pollScheduled = false
				r.poll()
			})
		}
		return
	}
	r.sendBatch(now)
}

// sendBatch appends the next batch of the shard.
func (r *shardSim) sendBatch(now time.Time) {
	b, ok := r.shard.NextBatch(now)
	if !ok {
		return
	}
	data, err := b.Encode()
	if err != nil {
		panic(fmt.Sprintf("batch %d: %v", b.Number, err))
	}
	r.appends++
	r.bytes += recordOverhead + (len(data)+2)/3*4
	r.batchOpenedAt = time.Time{}
	if r.AppendsPerSecond > 0 {
		r.nextAppendAt = now.Add(time.Duration(float64(time.Second) / r.AppendsPerSecond))
	}
	r.w.sim.after(r.AppendLatency/2, func() { r.readRecord(b) })
	r.w.sim.after(r.AppendLatency, func() {
		r.shard.AppendDone(r.w.sim.now, b.Number, claim.Appended)
		r.poll()
	})
}

// readRecord passes the record of a batch to the shard and handles the completed
// acquire calls.
func (r *shardSim) readRecord(b claim.Batch) {
	now := r.w.sim.now
	r.shard.ReadRecord(now, int64(r.appends), now, b)
	r.shard.Decide(now)
	for _, completed := range r.shard.TakeCompleted() {
		requestedAt, ok := r.requestedAt[completed.Ticket]
		if !ok {
			continue
		}
		r.durations = append(r.durations, now.Sub(requestedAt))
		acquire := r.requests[completed.Ticket]
		delete(r.requestedAt, completed.Ticket)
		delete(r.requests, completed.Ticket)
		r.w.sim.after(requestDuration, func() {
			r.shard.Record(r.w.sim.now, claim.Outcome{Key: acquire.Key, Request: acquire.Request, Kind: errkind.None, Target: "target-1", Status: 200})
			r.poll()
		})
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the result as cells of a Markdown table.
func (r ShardResult) String() string {
	return fmt.Sprintf("%d ms | %d ms | %.1f | %.0f",
		r.Median.Milliseconds(), r.P99.Milliseconds(), r.AppendsPerSecond, math.Round(r.BytesPerSecond))
}
