package model

import (
	"fmt"
	"time"
)

// Scheme is a way to decide whether a keyed call may run.
type Scheme int

// The schemes.
const (
	// LogClaims: the first claim of a key in the log wins.
	LogClaims Scheme = iota
	// HostKeys: the host that minted a key decides alone. When that host is replaced, its
	// keys are lost.
	HostKeys
	// HomeMemory: the home of a key decides in memory. It refuses a call unless, in its own
	// view of the live hosts, it has been the home since before the call arrived.
	HomeMemory
)

// OutageConfig describes a load of non-idempotent calls during a run with one log
// outage.
type OutageConfig struct {
	Scheme Scheme
	// CallsPerSecond is the arrival rate of calls.
	CallsPerSecond float64
	// OutageDuration is the length of the log outage, which begins outageStart into the run.
	OutageDuration time.Duration
	// HostLifetime is the mean time from a host's start to its replacement.
	HostLifetime time.Duration
	// MaxThinkTime is the maximum time from the minting of a key to the first send.
	MaxThinkTime time.Duration
	// ReplyLossRate is the fraction of replies that do not reach the caller, in addition to
	// those of hosts that are replaced during the call.
	ReplyLossRate float64
	// PartitionDuration is how long a network partition separates the hosts into two
	// halves. The partition begins with the log outage.
	PartitionDuration time.Duration
	// MaxViewDelay is the maximum time until a host's view of the live hosts follows the
	// start or end of the partition.
	MaxViewDelay time.Duration
}

// OutageResult counts calls by the outcome that their callers know in the end.
type OutageResult struct {
	Calls, Succeeded, NotRun, Unknown int
	// CallsInOutage is the number of calls that arrived while the log was down.
	// SucceededInOutage is the number of them that succeeded while it was still down.
	CallsInOutage, SucceededInOutage int
	// DuplicateDispatches is the number of calls that were dispatched more than once. Only
	// HomeMemory can dispatch a call again; in the other schemes, a retry joins the first
	// run.
	DuplicateDispatches int
}

const (
	outageHosts       = 13
	outageStart       = 10 * time.Minute
	outageRunDuration = time.Hour
	callDuration      = time.Second
	claimDuration     = 20 * time.Millisecond
	replyTimeout      = 5 * time.Second
	retryDelay        = 5 * time.Second
	// retryPeriod is how long a caller retries, in addition to MaxThinkTime.
	retryPeriod = time.Minute
)

// outageHost is a host that can mint keys. Its keys are lost when its incarnation
// changes.
type outageHost struct {
	incarnation int
}

// outageCall is a call of a caller.
type outageCall struct {
	arrivedAt time.Time
	// mintHost is the host that minted the key, and mintIncarnation its incarnation then.
	mintHost, mintIncarnation int
	// mayHaveRun is set when the reply to a send that may have run the call is lost.
	mayHaveRun bool
	done       bool
	// shard is the shard of the key, which determines its home with HomeMemory.
	shard int
	// dispatches counts the dispatches with HomeMemory.
	dispatches int
}

// outageSim is one simulation of an OutageConfig.
type outageSim struct {
	OutageConfig
	sim    *sim
	hosts  [outageHosts]outageHost
	views  *homeViews
	result OutageResult
}

// MeasureOutage simulates one run in virtual time.
func MeasureOutage(seed uint64, config OutageConfig) OutageResult {
	s := &outageSim{OutageConfig: config, sim: newSim(seed)}
	s.views = newHomeViews(s)
	for i := range s.hosts {
		s.scheduleReplacement(i)
	}
	s.scheduleArrival()
	s.sim.run(epoch.Add(outageRunDuration + 2*retryPeriod + config.MaxThinkTime))
	return s.result
}

// scheduleReplacement replaces host i after an exponentially distributed lifetime.
func (s *outageSim) scheduleReplacement(i int) {
	s.sim.after(time.Duration(s.sim.rng.ExpFloat64()*float64(s.HostLifetime)), func() {
		s.hosts[i].incarnation++
		s.views.clearHost(i)
		s.scheduleReplacement(i)
	})
}

// logDown reports whether the log is down.
func (s *outageSim) logDown() bool {
	since := s.sim.now.Sub(epoch.Add(outageStart))
	return since >= 0 && since < s.OutageDuration
}

// scheduleArrival schedules the next call, with exponentially distributed interarrival
// times.
func (s *outageSim) scheduleArrival() {
	interarrival := time.Duration(s.sim.rng.ExpFloat64() / s.CallsPerSecond * float64(time.Second))
	s.sim.after(interarrival, func() {
		if s.sim.now.Sub(epoch) >= outageRunDuration {
			return
		}
		c := &outageCall{arrivedAt: s.sim.now, mintHost: s.sim.rng.IntN(outageHosts), shard: s.sim.rng.IntN(homeShards)}
		c.mintIncarnation = s.hosts[c.mintHost].incarnation
		s.result.Calls++
		if s.logDown() {
			s.result.CallsInOutage++
		}
		s.sim.after(s.sim.between(0, s.MaxThinkTime), func() { s.send(c) })
		s.scheduleArrival()
	})
}

// send sends the call or a retry of it.
func (s *outageSim) send(c *outageCall) {
	switch s.Scheme {
	case HostKeys:
		s.sendToMintHost(c)
	case HomeMemory:
		s.sendToHome(c)
	case LogClaims:
		s.sendWithClaim(c)
	}
}

// sendToMintHost sends the call to the host that minted its key. If that host was
// replaced, the outcome of the call is unknown.
func (s *outageSim) sendToMintHost(c *outageCall) {
	if s.hosts[c.mintHost].incarnation != c.mintIncarnation {
		s.complete(c, &s.result.Unknown)
		return
	}
	s.run(c, c.mintHost)
}

// sendWithClaim claims the key in the log and runs the call. While the log is down, the
// call is refused.
func (s *outageSim) sendWithClaim(c *outageCall) {
	if s.logDown() {
		s.onRefusal(c)
		return
	}
	s.sim.after(claimDuration, func() { s.run(c, s.sim.rng.IntN(outageHosts)) })
}

// run runs the call, or joins its run if it already ran. The reply is lost if the host
// that serves the call is replaced before it replies. Otherwise it is lost with the
// probability ReplyLossRate.
func (s *outageSim) run(c *outageCall, host int) {
	incarnation := s.hosts[host].incarnation
	s.sim.after(callDuration, func() {
		if s.hosts[host].incarnation != incarnation || s.sim.chance(s.ReplyLossRate) {
			c.mayHaveRun = true
			s.sim.after(replyTimeout, func() { s.retry(c) })
			return
		}
		s.complete(c, &s.result.Succeeded)
	})
}

// onRefusal retries a refused call after retryDelay. The refused send did not run the
// call.
func (s *outageSim) onRefusal(c *outageCall) {
	s.sim.after(retryDelay, func() { s.retry(c) })
}

// retry sends the call again until the retry period of the caller is over. After that,
// the caller counts the call as unknown if it may have run, and as not run otherwise.
func (s *outageSim) retry(c *outageCall) {
	if s.sim.now.Sub(c.arrivedAt) < retryPeriod+s.MaxThinkTime {
		s.send(c)
		return
	}
	if c.mayHaveRun {
		s.complete(c, &s.result.Unknown)
		return
	}
	s.complete(c, &s.result.NotRun)
}

// complete counts the outcome of a call once.
func (s *outageSim) complete(c *outageCall, counter *int) {
	if c.done {
		return
	}
	c.done = true
	*counter++
	start := epoch.Add(outageStart)
	inOutage := !c.arrivedAt.Before(start) && c.arrivedAt.Before(start.Add(s.OutageDuration))
	if counter == &s.result.Succeeded && inOutage && s.logDown() {
		s.result.SucceededInOutage++
	}
}

// String returns the result as cells of a Markdown table.
func (r OutageResult) String() string {
	return fmt.Sprintf("%d | %d | %d | %d | %d | %d of %d", r.Calls, r.Succeeded, r.NotRun, r.Unknown, r.DuplicateDispatches, r.SucceededInOutage, r.CallsInOutage)
}
