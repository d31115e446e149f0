package model

import (
	"fmt"
	"time"
)

// Scheme is a way to decide who may run a keyed call.
type Scheme int

// The schemes.
const (
	// LogClaims: the first claim of a key in the log wins.
	LogClaims Scheme = iota
	// HostKeys: a host mints the key, is its only authority, and takes it with
	// it when it is replaced.
	HostKeys
	// HomeMemory: the home of a key decides in memory when, by its own view of
	// the hosts, it has been home since before the key was made.
	HomeMemory
)

// Outage is a day's load of non-idempotent calls with one log outage.
type Outage struct {
	Scheme Scheme
	// CallsPerSecond are wanted by callers.
	CallsPerSecond float64
	// Length is that of the log outage, which begins outageStart into the run.
	Length time.Duration
	// HostLife is the mean time from a host's start to its replacement.
	HostLife time.Duration
	// Think is the longest time between getting a key and sending the call.
	Think time.Duration
	// LostReply is the part of replies that do not reach the caller.
	LostReply float64
	// Partition is how long half of the hosts do not hear the other half; it
	// begins with the outage.
	Partition time.Duration
	// ViewLag is the longest time until a host sees that another one came or went.
	ViewLag time.Duration
}

// OutageResult counts calls by what their callers know in the end.
type OutageResult struct {
	Wanted, Done, NotRun, Unknown int
	// WantedInOutage and DoneInOutage are the calls that were wanted while
	// the log was down, and those of them that were done before it was up.
	WantedInOutage, DoneInOutage int
	// Doubled are the calls that were dispatched twice.
	Doubled int
}

const (
	outageHosts    = 13
	outageStart    = 10 * time.Minute
	outageRun      = time.Hour
	callTime       = time.Second
	claimTime      = 20 * time.Millisecond
	replyTimeout   = 5 * time.Second
	retryPause     = 5 * time.Second
	callerPatience = time.Minute
)

// outageHost is one host; keys are lost with its incarnation.
type outageHost struct {
	incarnation int
}

// outageCall is one call that a caller wants.
type outageCall struct {
	wanted time.Time
	// minter and minted are the host of the key and its incarnation.
	minter, minted int
	// unsure is set when a reply to a send that may have run was lost.
	unsure bool
	ended  bool
	// shard is the part of the key space, and runs counts the dispatches.
	shard int
	runs  int
}

// outageWorld is one run.
type outageWorld struct {
	Outage
	sim    *sim
	hosts  [outageHosts]outageHost
	homes  *homeViews
	result OutageResult
}

// MeasureOutage plays a run in virtual time.
func MeasureOutage(seed uint64, o Outage) OutageResult {
	w := &outageWorld{Outage: o, sim: newSim(seed)}
	w.homes = newHomeViews(w)
	for i := range w.hosts {
		w.replaceLater(i)
	}
	w.arrive()
	w.sim.run(epoch.Add(outageRun + 2*callerPatience + o.Think))
	return w.result
}

func (w *outageWorld) replaceLater(i int) {
	w.sim.after(time.Duration(w.sim.rng.ExpFloat64()*float64(w.HostLife)), func() {
		w.hosts[i].incarnation++
		w.homes.replaced(i)
		w.replaceLater(i)
	})
}

func (w *outageWorld) down() bool {
	since := w.sim.time.Sub(epoch.Add(outageStart))
	return since >= 0 && since < w.Length
}

func (w *outageWorld) arrive() {
	gap := time.Duration(w.sim.rng.ExpFloat64() / w.CallsPerSecond * float64(time.Second))
	w.sim.after(gap, func() {
		if w.sim.time.Sub(epoch) >= outageRun {
			return
		}
		c := &outageCall{wanted: w.sim.time, minter: w.sim.rng.IntN(outageHosts), shard: w.sim.rng.IntN(homeShards)}
		c.minted = w.hosts[c.minter].incarnation
		w.result.Wanted++
		if w.down() {
			w.result.WantedInOutage++
		}
		w.sim.after(w.sim.between(0, w.Think), func() { w.send(c) })
		w.arrive()
	})
}

// send is one send of the caller, to any host.
func (w *outageWorld) send(c *outageCall) {
	switch w.Scheme {
	case HostKeys:
		w.sendMinted(c)
	case HomeMemory:
		w.sendHome(c)
	case LogClaims:
		w.sendClaimed(c)
	}
}

// sendMinted asks the host of the key. When that host was replaced, nobody can
// tell whether the call ran.
func (w *outageWorld) sendMinted(c *outageCall) {
	if w.hosts[c.minter].incarnation != c.minted {
		w.end(c, &w.result.Unknown)
		return
	}
	w.run(c, c.minter)
}

// sendClaimed claims the key in the log, or is refused while it is down.
func (w *outageWorld) sendClaimed(c *outageCall) {
	if w.down() {
		w.refused(c)
		return
	}
	w.sim.after(claimTime, func() { w.run(c, w.sim.rng.IntN(outageHosts)) })
}

// run runs the call, or joins its run, and replies over a host that may
// be replaced meanwhile.
func (w *outageWorld) run(c *outageCall, host int) {
	incarnation := w.hosts[host].incarnation
	w.sim.after(callTime, func() {
		if w.hosts[host].incarnation != incarnation || w.sim.chance(w.LostReply) {
			c.unsure = true
			w.sim.after(replyTimeout, func() { w.again(c) })
			return
		}
		w.end(c, &w.result.Done)
	})
}

// refused tells the caller that this send did not run.
func (w *outageWorld) refused(c *outageCall) {
	w.sim.after(retryPause, func() { w.again(c) })
}

// again sends once more while the caller has patience.
func (w *outageWorld) again(c *outageCall) {
	if w.sim.time.Sub(c.wanted) < callerPatience+w.Think {
		w.send(c)
		return
	}
	if c.unsure {
		w.end(c, &w.result.Unknown)
		return
	}
	w.end(c, &w.result.NotRun)
}

func (w *outageWorld) end(c *outageCall, counter *int) {
	if c.ended {
		return
	}
	c.ended = true
	*counter++
	start := epoch.Add(outageStart)
	inOutage := !c.wanted.Before(start) && c.wanted.Before(start.Add(w.Length))
	if counter == &w.result.Done && inOutage && w.down() {
		w.result.DoneInOutage++
	}
}

// String returns the result as cells of a Markdown table.
func (r OutageResult) String() string {
	return fmt.Sprintf("%d | %d | %d | %d | %d | %d of %d", r.Wanted, r.Done, r.NotRun, r.Unknown, r.Doubled, r.DoneInOutage, r.WantedInOutage)
}
