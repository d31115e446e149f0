package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ClaimWaitConfig describes the load of a dispatcher's queue. Half of the requests,
// chosen at random, are keyed: they wait for a claim before they enter the queue.
type ClaimWaitConfig struct {
	// Load is the offered load as a fraction of the capacity.
	Load float64
	// DeadlineFromArrival makes the deadlines of a keyed request count from its arrival.
	// If it is false, they count from the end of its claim.
	DeadlineFromArrival bool
	// ClaimDurations are the durations of the claims. They are used in order, and again
	// from the start after the last one.
	ClaimDurations []time.Duration
}

// ClaimWaitResult holds the waits of the keyed and of the other requests.
type ClaimWaitResult struct {
	Keyed, Unkeyed WaitStats
}

// WaitStats describes the wait of requests from their arrival until they are started
// or shed.
type WaitStats struct {
	Mean, P99 time.Duration
	// LateFraction is the fraction of requests that were shed, or were started later than
	// waitFirstTokenTimeout after their arrival.
	LateFraction float64
}

const (
	waitTargetCount       = 4
	waitTargetWindow      = 8
	waitAnswerTokens      = 50
	waitFirstTokenTimeout = 670 * time.Millisecond
	waitTickInterval      = 2 * time.Millisecond
	waitRunDuration       = 10 * time.Minute
	// waitWarmUpPeriod is the period at the start of the run whose arrivals are not measured.
	waitWarmUpPeriod = 30 * time.Second
)

// queuedRequest is a request of the simulation with the time of its arrival.
type queuedRequest struct {
	request *tables.Request
	arrived time.Time
	keyed   bool
}

// claimWaitSim is one simulation of a ClaimWaitConfig. The maps waits and lateCount
// are indexed by whether the request has an idempotency key.
type claimWaitSim struct {
	ClaimWaitConfig
	sim          *sim
	state        *schedule.State
	requests     map[tables.RequestID]queuedRequest
	waits        map[bool][]time.Duration
	lateCount    map[bool]int
	claimCount   int
	arrivalCount int
}

// MeasureClaimWait simulates the queue of one dispatcher in virtual time.
func MeasureClaimWait(seed uint64, config ClaimWaitConfig) ClaimWaitResult {
	r := &claimWaitSim{
		ClaimWaitConfig: config, sim: newSim(seed), state: schedule.NewState(),
		requests: make(map[tables.RequestID]queuedRequest), waits: make(map[bool][]time.Duration), lateCount: make(map[bool]int),
	}
	for i := range waitTargetCount {
		r.state.Targets.Put(&tables.Target{
			ID: tables.TargetID(fmt.Sprintf("t%d", i)), Owned: true, WindowMax: waitTargetWindow,
			Services: map[tables.ServiceID]bool{"s": true},
		})
	}
	r.scheduleArrival()
	r.tick()
	r.sim.run(epoch.Add(waitRunDuration))
	return ClaimWaitResult{Keyed: r.stats(true), Unkeyed: r.stats(false)}
}

// serviceTime returns the duration of one request at a target with a full batch.
func (r *claimWaitSim) serviceTime() time.Duration {
	return time.Duration(waitAnswerTokens) * tables.Speed{}.TokenGap(waitTargetWindow)
}

// scheduleArrival schedules the next arrival, with exponentially distributed
// interarrival times.
func (r *claimWaitSim) scheduleArrival() {
	perSecond := r.Load * waitTargetCount * waitTargetWindow / r.serviceTime().Seconds()
	interarrival := time.Duration(r.sim.rng.ExpFloat64() / perSecond * float64(time.Second))
	r.sim.after(interarrival, func() {
		r.arrivalCount++
		q := queuedRequest{arrived: r.sim.now, keyed: r.sim.chance(0.5)}
		wait := time.Duration(0)
		if q.keyed {
			wait = r.ClaimDurations[r.claimCount%len(r.ClaimDurations)]
			r.claimCount++
		}
		id := tables.RequestID(fmt.Sprintf("h.%09d", r.arrivalCount))
		r.sim.after(wait, func() { r.enqueue(id, q) })
		r.scheduleArrival()
	})
}

// enqueue adds a request to the dispatcher's queue.
func (r *claimWaitSim) enqueue(id tables.RequestID, q queuedRequest) {
	deadlineStart := r.sim.now
	if r.DeadlineFromArrival {
		deadlineStart = q.arrived
	}
	q.request = &tables.Request{
		ID: id, Customer: "c", Service: "s", Share: 1, Arrived: deadlineStart,
		FirstTokenDue: deadlineStart.Add(waitFirstTokenTimeout), Due: deadlineStart.Add(time.Minute),
		MaxTokens: waitAnswerTokens, PredictedTokens: waitAnswerTokens, PromptTokens: 1,
		Allowed: []tables.TargetID{"t0", "t1", "t2", "t3"},
	}
	r.requests[id] = q
	r.state.Requests.Put(q.request)
}

// tick runs the scheduler once, carries out the starts and sheds that it decides, and
// schedules the next tick.
func (r *claimWaitSim) tick() {
	for _, d := range schedule.Tick(r.sim.now, r.state) {
		switch d.Action {
		case tables.Start:
			r.start(r.requests[d.Request])
		case tables.Shed:
			r.state.Requests.Delete(d.Request)
			r.recordWait(r.requests[d.Request], true)
		case tables.Cancel:
		}
	}
	r.sim.after(waitTickInterval, r.tick)
}

// start records the wait of a request and removes the request after its service time.
func (r *claimWaitSim) start(q queuedRequest) {
	r.recordWait(q, r.sim.now.Sub(q.arrived) > waitFirstTokenTimeout)
	r.sim.after(r.serviceTime(), func() { r.state.Requests.Delete(q.request.ID) })
}

// recordWait records the time since the arrival of a request, unless the request arrived
// in the warm-up period.
func (r *claimWaitSim) recordWait(q queuedRequest, late bool) {
	if q.arrived.Before(epoch.Add(waitWarmUpPeriod)) {
		return
	}
	r.waits[q.keyed] = append(r.waits[q.keyed], r.sim.now.Sub(q.arrived))
	if late {
		r.lateCount[q.keyed]++
	}
}

// stats summarizes the recorded waits of the keyed or of the other requests.
func (r *claimWaitSim) stats(keyed bool) WaitStats {
	waits := r.waits[keyed]
	slices.Sort(waits)
	var sum time.Duration
	for _, w := range waits {
		sum += w
	}
	n := len(waits)
	return WaitStats{Mean: sum / time.Duration(n), P99: waits[n*99/100], LateFraction: float64(r.lateCount[keyed]) / float64(n)}
}

// String returns the statistics as cells of a Markdown table.
func (r WaitStats) String() string {
	return fmt.Sprintf("%d ms | %d ms | %.1f %%", r.Mean.Milliseconds(), r.P99.Milliseconds(), 100*r.LateFraction)
}
