package capacity

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Parameters of the measurements of a gate and a dispatcher.
const (
	runningPerEngine = 16
	queuedPerEngine  = 8
	prefixBlocks     = 64
	measuredRequests = 2000
)

// measureSchedulingSlopes measures the costs of a request for the gate that routes it and
// the dispatcher that queues it.
func measureSchedulingSlopes(s Size) ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0)
	state := s.dispatcherState(now)
	schedule.Tick(now, state)
	views := s.routeViews(now)
	req := route.Request{ID: "entry-001.x", Tier: 1, PromptTokens: 800, PredictedTokens: 300, PrefixHashes: make([]uint64, prefixBlocks), Due: now.Add(time.Minute)}
	memory := memoryOf(func() any {
		t := tables.NewRequests()
		for i := range measuredRequests {
			t.Put(s.request(i, now))
		}
		return t
	}) / measuredRequests
	load := fmt.Sprintf(" with %d engines, each %d running and %d queued", s.enginesPerNode(), runningPerEngine, queuedPerEngine)
	m := &meter{}
	m.addTime("dispatcher.tick", "event", "schedule.Tick"+load, func() { schedule.Tick(now, state) })
	m.addTime("dispatcher.summary", "heartbeat or answer", "schedule.Summary"+load, func() { schedule.Summary(now, state) })
	m.add("dispatcher.request_memory", memory, Bytes, "request", "heap of a table of 2000 rows with 64 prefix blocks")
	m.addTime("gate.pick", "request", fmt.Sprintf("route.Pick over %d views", len(views)), func() { route.Pick(now, req, views) })
	return m.result()
}

// dispatcherState returns the state of a dispatcher before its first scheduling pass. Each
// engine has a window of runningPerEngine requests, and runningPerEngine plus
// queuedPerEngine requests are queued for it.
func (s Size) dispatcherState(now time.Time) *schedule.State {
	state := schedule.NewState()
	for i := range s.enginesPerNode() {
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

// routeViews returns the views of a gate on the engines that serve one model.
func (s Size) routeViews(now time.Time) []route.View {
	views := make([]route.View, 0, s.enginesPerModel())
	for i := range s.enginesPerModel() {
		views = append(views, route.View{
			Target: tables.TargetID(engineName(i)), Owner: tables.HostID(hostName(i % s.Nodes)), Domain: tables.DomainID(domainName(i % s.FailureDomains)),
			Speed:   s.target(i).Speed,
			Summary: tables.TargetSummary{Free: i % 20, WaitMillis: 10 * i, QueuedByTier: make([]int, s.Tiers), RunningByTier: make([]int, s.Tiers)},
			Updated: now,
		})
	}
	return views
}
