package capacity

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Load of one dispatcher in the measurement.
const (
	runningPerEngine = 16
	queuedPerEngine  = 8
	prefixBlocks     = 64
	measuredRequests = 2000
)

// scheduleSlopes measures what requests cost the gate that routes them and the
// dispatcher that queues them.
func scheduleSlopes(s Size) ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0)
	state := s.dispatcherState(now)
	schedule.Tick(now, state)
	views := s.views(now)
	ask := route.Request{ID: "entry-001.x", Tier: 1, PromptTokens: 800, PredictedTokens: 300, PrefixHashes: make([]uint64, prefixBlocks), Due: now.Add(time.Minute)}
	memory := memoryOf(func() any {
		t := tables.NewRequests()
		for i := range measuredRequests {
			t.Put(s.request(i, now))
		}
		return t
	}) / measuredRequests
	load := fmt.Sprintf(" with %d engines, each %d running and %d queued", s.enginesOfNode(), runningPerEngine, queuedPerEngine)
	m := &meter{}
	m.time("dispatcher.tick", "event", "schedule.Tick"+load, func() { schedule.Tick(now, state) })
	m.time("dispatcher.summary", "heartbeat or answer", "schedule.Summary"+load, func() { schedule.Summary(now, state) })
	m.add("dispatcher.request_memory", memory, Bytes, "request", "heap of a table of 2000 rows with 64 prefix blocks")
	m.time("gate.pick", "request", fmt.Sprintf("route.Pick over %d views", len(views)), func() { route.Pick(now, ask, views) })
	return m.result()
}

// dispatcherState returns a dispatcher whose engines are full and have queues.
func (s Size) dispatcherState(now time.Time) *schedule.State {
	state := schedule.NewState()
	for i := range s.enginesOfNode() {
		t := s.target(i)
		t.Owned = true
		t.Window = runningPerEngine
		t.WindowMax = runningPerEngine
		state.Targets.Put(t)
		for j := range runningPerEngine + queuedPerEngine {
			r := s.request(i*1000+j, now)
			r.Service = tables.ServiceID(serviceName(i % s.Models))
			r.Allowed = []tables.TargetID{t.ID}
			state.Requests.Put(r)
		}
	}
	return state
}

func (s Size) request(i int, now time.Time) *tables.Request {
	return &tables.Request{
		ID:       requestOf(i, now),
		Customer: tables.CustomerID(customerName(i % s.Customers)),
		Service:  tables.ServiceID(serviceName(i % s.Models)),
		Tier:     i % s.Tiers, Share: 1,
		Arrived: now, FirstTokenDue: now.Add(time.Minute), Due: now.Add(time.Hour),
		PromptTokens: 800, MaxTokens: 1024, PredictedTokens: 373,
		PrefixHashes: make([]uint64, prefixBlocks),
		Allowed:      []tables.TargetID{tables.TargetID(engineName(i % s.Engines))},
	}
}

func (s Size) views(now time.Time) []route.View {
	views := make([]route.View, 0, s.enginesOfModel())
	for i := range s.enginesOfModel() {
		views = append(views, route.View{
			Target: tables.TargetID(engineName(i)), Owner: tables.HostID(hostName(i % s.Nodes)), Domain: tables.DomainID(domainName(i % s.FailureDomains)),
			Speed:   s.target(i).Speed,
			Summary: tables.TargetSummary{Free: i % 20, WaitMillis: 10 * i, QueuedByTier: make([]int, s.Tiers), RunningByTier: make([]int, s.Tiers)},
			Updated: now,
		})
	}
	return views
}
