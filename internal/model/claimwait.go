package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ClaimWait is a queue in which half of the requests wait for a claim first.
type ClaimWait struct {
	// Load is the offered part of the capacity.
	Load float64
	// FromArrival counts the deadlines from the arrival, and else from the end
	// of the claim.
	FromArrival bool
	// Claims are the times of claims, taken in turn.
	Claims []time.Duration
}

// ClaimWaitResult tells how keyed and other requests waited for their start.
type ClaimWaitResult struct {
	Keyed, Unkeyed WaitResult
}

// WaitResult is the wait from arrival to start.
type WaitResult struct {
	Mean, P99 time.Duration
	// Late is the part that started too late for their first token.
	Late float64
}

const (
	waitEngines    = 4
	waitWindow     = 8
	waitTokens     = 50
	waitFirstToken = 670 * time.Millisecond
	waitTick       = 2 * time.Millisecond
	waitRun        = 10 * time.Minute
	waitWarmUp     = 30 * time.Second
)

// waitRow is one request of a ClaimWait with its arrival.
type waitRow struct {
	row     *tables.Request
	arrived time.Time
	keyed   bool
}

type claimWaitRun struct {
	ClaimWait
	sim    *sim
	state  *schedule.State
	rows   map[tables.RequestID]waitRow
	waits  map[bool][]time.Duration
	late   map[bool]int
	claims int
	count  int
}

// MeasureClaimWait plays the queue of one dispatcher in virtual time.
func MeasureClaimWait(seed uint64, c ClaimWait) ClaimWaitResult {
	r := &claimWaitRun{
		ClaimWait: c, sim: newSim(seed), state: schedule.NewState(),
		rows: make(map[tables.RequestID]waitRow), waits: make(map[bool][]time.Duration), late: make(map[bool]int),
	}
	for i := range waitEngines {
		r.state.Targets.Put(&tables.Target{
			ID: tables.TargetID(fmt.Sprintf("t%d", i)), Owned: true, WindowMax: waitWindow,
			Services: map[tables.ServiceID]bool{"s": true},
		})
	}
	r.arrive()
	r.tick()
	r.sim.run(epoch.Add(waitRun))
	return ClaimWaitResult{Keyed: r.result(true), Unkeyed: r.result(false)}
}

// runTime is the time of one request in a full batch.
func (r *claimWaitRun) runTime() time.Duration {
	return time.Duration(waitTokens) * tables.Speed{}.TokenGap(waitWindow)
}

func (r *claimWaitRun) arrive() {
	perSecond := r.Load * waitEngines * waitWindow / r.runTime().Seconds()
	gap := time.Duration(r.sim.rng.ExpFloat64() / perSecond * float64(time.Second))
	r.sim.after(gap, func() {
		r.count++
		w := waitRow{arrived: r.sim.time, keyed: r.sim.chance(0.5)}
		wait := time.Duration(0)
		if w.keyed {
			wait = r.Claims[r.claims%len(r.Claims)]
			r.claims++
		}
		id := tables.RequestID(fmt.Sprintf("h.%09d", r.count))
		r.sim.after(wait, func() { r.enqueue(id, w) })
		r.arrive()
	})
}

func (r *claimWaitRun) enqueue(id tables.RequestID, w waitRow) {
	from := r.sim.time
	if r.FromArrival {
		from = w.arrived
	}
	w.row = &tables.Request{
		ID: id, Customer: "c", Service: "s", Share: 1, Arrived: from,
		FirstTokenDue: from.Add(waitFirstToken), Due: from.Add(time.Minute),
		MaxTokens: waitTokens, PredictedTokens: waitTokens, PromptTokens: 1,
		Allowed: []tables.TargetID{"t0", "t1", "t2", "t3"},
	}
	r.rows[id] = w
	r.state.Requests.Put(w.row)
}

func (r *claimWaitRun) tick() {
	for _, d := range schedule.Tick(r.sim.time, r.state) {
		switch d.Action {
		case tables.Start:
			r.started(r.rows[d.Request])
		case tables.Shed:
			r.state.Requests.Delete(d.Request)
			r.note(r.rows[d.Request], true)
		case tables.Cancel:
		}
	}
	r.sim.after(waitTick, r.tick)
}

func (r *claimWaitRun) started(w waitRow) {
	r.note(w, r.sim.time.Sub(w.arrived) > waitFirstToken)
	r.sim.after(r.runTime(), func() { r.state.Requests.Delete(w.row.ID) })
}

func (r *claimWaitRun) note(w waitRow, late bool) {
	if w.arrived.Before(epoch.Add(waitWarmUp)) {
		return
	}
	r.waits[w.keyed] = append(r.waits[w.keyed], r.sim.time.Sub(w.arrived))
	if late {
		r.late[w.keyed]++
	}
}

func (r *claimWaitRun) result(keyed bool) WaitResult {
	waits := r.waits[keyed]
	slices.Sort(waits)
	var sum time.Duration
	for _, w := range waits {
		sum += w
	}
	n := len(waits)
	return WaitResult{Mean: sum / time.Duration(n), P99: waits[n*99/100], Late: float64(r.late[keyed]) / float64(n)}
}

// String returns the result as cells of a Markdown table.
func (r WaitResult) String() string {
	return fmt.Sprintf("%d ms | %d ms | %.1f %%", r.Mean.Milliseconds(), r.P99.Milliseconds(), 100*r.Late)
}
