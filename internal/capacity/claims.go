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

// Conditions of the simulated claim stream.
const (
	appendLatency  = 10 * time.Millisecond
	answerTime     = 5 * time.Second
	simulatedTime  = 10 * time.Minute
	simulationSeed = 1
	answerBytes    = 1500
	foldedKeys     = 20_000
)

// claimSlopes measures what a keyed request costs the home of its key and the
// log.
func claimSlopes(s Size) ([]Slope, error) {
	batch := claim.Batch{Writer: "entry-001", Incarnation: 1, Claims: []claim.Claim{claimEntry(0, time.Unix(0, 0))}}
	one, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	batch.Claims = append(batch.Claims, claimEntry(1, time.Unix(0, 0)))
	two, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	batch.Outcomes = append(batch.Outcomes, outcomeEntry(0, time.Unix(0, 0)))
	three, err := batch.Encode()
	if err != nil {
		return nil, err
	}
	memory := memoryOf(func() any { return foldedTable() }) / foldedKeys
	m := &meter{}
	m.add("claims.claim_bytes", float64(len(two)-len(one)), Bytes, "keyed request", "encoded entry in a batch")
	m.add("claims.outcome_bytes", float64(len(three)-len(two)), Bytes, "keyed request", "encoded entry with an answer of 1500 bytes")
	m.add("claims.batch_bytes", float64(2*len(one)-len(two)), Bytes, "append", "encoded batch without entries")
	m.add("claims.key_memory", memory, Bytes, "held key", "heap of a table of 20000 keys")
	fold, err := secondsOf(func() { foldedTable() })
	if err != nil {
		return nil, err
	}
	m.add("claims.fold", fold/foldedKeys, Seconds, "claim", "processor time of Table.Apply over 20000 keys, with building them")
	addSimulation(m, s, "claims.without_budget", 1/appendLatency.Seconds())
	addSimulation(m, s, "claims.with_budget", claims.DefaultAppendsPerSecond/claims.DefaultShards)
	return m.result()
}

// addSimulation adds what the claim streams need of the log when every request
// has a key and each stream gets at most perStream appends a second.
func addSimulation(m *meter, s Size, name string, perStream float64) {
	result := simulateShard(s.RequestsPerSec/claims.DefaultShards, perStream)
	const method = "claim.Shard in virtual time: one of 64 streams, 10 min, seed 1, log latency 10 ms"
	m.add(name+".appends", result.appendsPerSecond*claims.DefaultShards, Count, "second over 64 streams, all requests keyed", method)
	m.add(name+".wait", result.meanWait.Seconds(), Seconds, "claim, mean from Acquire to decision", method)
	m.add(name+".longest", result.longestWait.Seconds(), Seconds, "claim, longest", method)
}

func foldedTable() *claim.Table {
	at := time.Unix(1_800_000_000, 0)
	t := claim.NewTable(claim.Limits{Window: time.Hour, Skew: 30 * time.Second})
	for i := range foldedKeys {
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

// uuidAt returns the UUID of version 7 with a time and a number.
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

// simulateShard runs one claim stream in virtual time: requests come at a
// Poisson rate, each has an outcome after answerTime, an append takes
// appendLatency and is read back at once. The home appends at most perStream
// times a second.
func simulateShard(rate, perStream float64) shardResult {
	random := rand.New(rand.NewPCG(simulationSeed, simulationSeed))
	start := time.Unix(1_800_000_000, 0)
	sim := &shardSimulation{
		now: start,
		gap: time.Duration(float64(time.Second) / perStream),
		shard: claim.NewShard(claim.Settings{
			Limits: claim.Limits{Window: claims.DefaultWindow, Skew: claims.DefaultSkew},
			Host:   "entry-001", Incarnation: 1,
			AppendGrace: claims.DefaultAppendGrace, MaxBackoff: claims.DefaultMaxBackoff, StallTimeout: claims.DefaultAcquireTimeout, OutcomeDelay: claims.DefaultOutcomeDelay,
		}, &claim.Sequences{}),
		asked: make(map[claim.Ticket]time.Time),
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
		meanWait:         sim.waited / time.Duration(max(sim.decided, 1)),
		longestWait:      sim.longest,
	}
}

// shardSimulation is the owner of one shard in virtual time.
type shardSimulation struct {
	now     time.Time
	gap     time.Duration
	shard   *claim.Shard
	events  events
	permit  time.Time
	offset  int64
	appends int
	asked   map[claim.Ticket]time.Time
	waited  time.Duration
	longest time.Duration
	decided int
}

func (s *shardSimulation) acquire(i int) {
	ticket := s.shard.Acquire(s.now, claim.AcquireRequest{
		Key: keyOf(i, s.now), Request: requestOf(i, s.now), Lifetime: claims.DefaultWindow, Deadline: s.now.Add(claims.DefaultAcquireTimeout),
	})
	s.asked[ticket] = s.now
	s.settle()
}

func (s *shardSimulation) runUntil(end time.Time) {
	for {
		at := end
		if len(s.events) > 0 && s.events[0].at.Before(at) {
			at = s.events[0].at
		}
		if due, ok := s.shard.NextDue(); ok && later(due, s.permit).Before(at) {
			s.now = later(later(due, s.permit), s.now)
			s.append()
			continue
		}
		s.now = later(at, s.now)
		if at.Equal(end) {
			return
		}
		event := heap.Pop(&s.events).(timed)
		event.run()
		s.settle()
	}
}

func (s *shardSimulation) append() {
	batch, ok := s.shard.NextBatch(s.now)
	if !ok {
		return
	}
	s.appends++
	s.permit = s.now.Add(s.gap)
	offset := s.offset
	s.offset++
	s.schedule(s.now.Add(appendLatency), func() {
		s.shard.AppendDone(s.now, batch.Number, claim.Appended)
		s.shard.ReadRecord(s.now, offset, s.now, batch)
		s.shard.Decide(s.now)
	})
}

func (s *shardSimulation) settle() {
	for _, settled := range s.shard.TakeCompleted() {
		at, ok := s.asked[settled.Ticket]
		if !ok {
			continue
		}
		delete(s.asked, settled.Ticket)
		wait := s.now.Sub(at)
		s.waited += wait
		s.longest = max(s.longest, wait)
		s.decided++
	}
}

func (s *shardSimulation) schedule(at time.Time, run func()) {
	heap.Push(&s.events, timed{at, run})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// timed is one event of a simulation.
type timed struct {
	at  time.Time
	run func()
}

// events is a heap of events by time.
type events []timed

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(timed)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
