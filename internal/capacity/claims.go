package capacity

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Parameters of the measurements of claims.
const (
	appendLatency  = 10 * time.Millisecond
	answerTime     = 5 * time.Second
	simulatedTime  = 10 * time.Minute
	simulationSeed = 1
	answerBytes    = 1500
	tableKeys      = 20_000
)

// measureClaimSlopes measures the costs of a keyed request for the home of its key and
// for the log.
func measureClaimSlopes(s Size) ([]Slope, error) {
	batch := claim.Batch{Writer: "entry-001", Incarnation: 1, Claims: []claim.Claim{claimEntry(0, time.Unix(0, 0))}}
	oneClaim, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	batch.Claims = append(batch.Claims, claimEntry(1, time.Unix(0, 0)))
	twoClaims, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	batch.Outcomes = append(batch.Outcomes, outcomeEntry(0, time.Unix(0, 0)))
	withOutcome, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	memory := memoryOf(func() any { return filledTable() }) / tableKeys
	m := &meter{}
	m.add("claims.claim_bytes", float64(len(twoClaims)-len(oneClaim)), Bytes, "keyed request", "encoded entry in a batch")
	m.add("claims.outcome_bytes", float64(len(withOutcome)-len(twoClaims)), Bytes, "keyed request", "encoded entry with an answer of 1500 bytes")
	m.add("claims.batch_bytes", float64(2*len(oneClaim)-len(twoClaims)), Bytes, "append", "encoded batch without entries")
	m.add("claims.key_memory", memory, Bytes, "held key", "heap of a table of 20000 keys")
	seconds, err := secondsPerRun(func() { filledTable() })
	if err != nil {
		return nil, err
	}
	m.add("claims.fold", seconds/tableKeys, Seconds, "claim", "processor time of Table.Apply over 20000 keys, with building them")
	addSimulation(m, s, "claims.without_budget", 1/appendLatency.Seconds())
	addSimulation(m, s, "claims.with_budget", claims.DefaultAppendsPerSecond/claims.DefaultShards)
	return m.result()
}

// addSimulation simulates a claim stream under the assumption that every request has a
// key and that each stream is limited to perStream appends per second. It adds the
// append rate of all streams and the waiting times of claims.
func addSimulation(m *meter, s Size, name string, perStream float64) {
	result := simulateShard(s.RequestsPerSec/claims.DefaultShards, perStream)
	const method = "claim.Shard in virtual time: one of 64 streams, 10 min, seed 1, log latency 10 ms"
	m.add(name+".appends", result.appendsPerSecond*claims.DefaultShards, Count, "second over 64 streams, all requests keyed", method)
	m.add(name+".wait", result.meanWait.Seconds(), Seconds, "claim, mean from Acquire to decision", method)
	m.add(name+".longest", result.longestWait.Seconds(), Seconds, "claim, longest", method)
}

// filledTable returns a table with claims for tableKeys keys.
func filledTable() *claim.Table {
	at := time.Unix(1_800_000_000, 0)
	t := claim.NewTable(claim.Limits{Window: time.Hour, Skew: 30 * time.Second})
	for i := range tableKeys {
		t.Apply(at, int64(i), at, claim.Batch{Writer: "entry-001", Incarnation: 1, Number: uint64(i + 1), Claims: []claim.Claim{claimEntry(i, at)}})
	}
	return t
}

func claimEntry(i int, at time.Time) claim.Claim {
	return claim.Claim{
		Key: keyOf(i, at), Request: requestOf(i, at), Fingerprint: tables.Fingerprint(i) << 40, Sequence: uint64(i), TargetsDigest: 1 << 60,
	}
}

func outcomeEntry(i int, at time.Time) claim.Outcome {
	return claim.Outcome{
		Key: keyOf(i, at), Request: requestOf(i, at), Target: "engine-0001", Status: 200, Tokens: 373, Body: make([]byte, answerBytes), BodyKept: true,
	}
}

func keyOf(i int, at time.Time) claim.Key {
	return claim.Key{
		Customer: tables.CustomerID(customerName(i % 580)),
		Service:  tables.ServiceID(serviceName(i % 8)),
		ID:       uuidAt(at, uint64(i)),
	}
}

func requestOf(i int, at time.Time) tables.RequestID {
	return tables.NewRequestID("entry-001", uuidAt(at, uint64(i)))
}

// uuidAt returns a version 7 UUID with the given time, whose random part is number.
func uuidAt(at time.Time, number uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], number)
	id[6] = 0x70
	id[8] = 0x80 | id[8]&0x3f
	return id
}

type shardResult struct {
	appendsPerSecond float64
	meanWait         time.Duration
	longestWait      time.Duration
}

// simulateShard simulates one claim stream in virtual time. Requests arrive as a Poisson
// process with the given rate per second, and the outcome of each is recorded answerTime
// after its arrival. An append takes appendLatency, and the record is read back at once.
// The home appends at most perStream times per second.
func simulateShard(rate, perStream float64) shardResult {
	random := rand.New(rand.NewPCG(simulationSeed, simulationSeed))
	start := time.Unix(1_800_000_000, 0)
	sim := &shardSimulation{
		now:            start,
		appendInterval: time.Duration(float64(time.Second) / perStream),
		shard: claim.NewShard(claim.Settings{
			Limits: claim.Limits{Window: claims.DefaultWindow, Skew: claims.DefaultSkew},
			Host:   "entry-001", Incarnation: 1,
			AppendGrace: claims.DefaultAppendGrace, MaxBackoff: claims.DefaultMaxBackoff, StallTimeout: claims.DefaultAcquireTimeout, OutcomeDelay: claims.DefaultOutcomeDelay,
		}, &claim.Sequences{}),
		pending: make(map[claim.Ticket]time.Time),
	}
	next := start
	for i := 0; next.Before(start.Add(simulatedTime)); i++ {
		sim.runUntil(next)
		sim.acquire(i)
		sim.schedule(next.Add(answerTime), func() { sim.shard.Record(sim.now, outcomeEntry(i, sim.now.Add(-answerTime))) })
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	sim.runUntil(next)
	return shardResult{
		appendsPerSecond: float64(sim.appends) / simulatedTime.Seconds(),
		meanWait:         sim.totalWait / time.Duration(max(sim.completed, 1)),
		longestWait:      sim.longestWait,
	}
}

// shardSimulation simulates the home of one claim shard in virtual time.
type shardSimulation struct {
	now            time.Time
	appendInterval time.Duration
	shard          *claim.Shard
	events         eventHeap
	// nextAppendAt is the earliest time of the next append.
	nextAppendAt time.Time
	offset       int64
	appends      int
	// pending holds the times at which the open tickets of Acquire were created.
	pending     map[claim.Ticket]time.Time
	totalWait   time.Duration
	longestWait time.Duration
	// completed counts the completed tickets; totalWait and longestWait are their
	// waiting times.
	completed int
}

// acquire claims the i-th key at the current time.
func (s *shardSimulation) acquire(i int) {
	ticket := s.shard.Acquire(s.now, claim.AcquireRequest{
		Key: keyOf(i, s.now), Request: requestOf(i, s.now), Lifetime: claims.DefaultWindow, Deadline: s.now.Add(claims.DefaultAcquireTimeout),
	})
	s.pending[ticket] = s.now
	s.recordCompleted()
}

// runUntil runs all events and appends that are due before end and advances the virtual
// time to end.
func (s *shardSimulation) runUntil(end time.Time) {
	for {
		at := end
		if len(s.events) > 0 && s.events[0].at.Before(at) {
			at = s.events[0].at
		}
		if due, ok := s.shard.NextDue(); ok && laterOf(due, s.nextAppendAt).Before(at) {
			s.now = laterOf(laterOf(due, s.nextAppendAt), s.now)
			s.append()
			continue
		}
		s.now = laterOf(at, s.now)
		if at.Equal(end) {
			return
		}
		next := heap.Pop(&s.events).(event)
		next.run()
		s.recordCompleted()
	}
}

// append starts the append of the next batch, if one is due.
func (s *shardSimulation) append() {
	batch, ok := s.shard.NextBatch(s.now)
	if !ok {
		return
	}
	s.appends++
	s.nextAppendAt = s.now.Add(s.appendInterval)
	offset := s.offset
	s.offset++
	s.schedule(s.now.Add(appendLatency), func() {
		s.shard.AppendDone(s.now, batch.Number, claim.Appended)
		s.shard.ReadRecord(s.now, offset, s.now, batch)
		s.shard.Decide(s.now)
	})
}

// recordCompleted records the waiting times of the tickets that have completed.
func (s *shardSimulation) recordCompleted() {
	for _, completion := range s.shard.TakeCompleted() {
		at, ok := s.pending[completion.Ticket]
		if !ok {
			continue
		}
		delete(s.pending, completion.Ticket)
		wait := s.now.Sub(at)
		s.totalWait += wait
		s.longestWait = max(s.longestWait, wait)
		s.completed++
	}
}

func (s *shardSimulation) schedule(at time.Time, run func()) {
	heap.Push(&s.events, event{at, run})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	run func()
}

// eventHeap is a heap of events, ordered by time.
type eventHeap []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
