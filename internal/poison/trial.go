package poison

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// askInterval is the minimum time between two requests of a host for a trial of one cause.
	askInterval = 500 * time.Millisecond
	// permitLifetime is how long a host may take from the grant of a trial to what it tells: the
	// request must arrive, get a slot and bring the beginning of its answer.
	permitLifetime = 10 * time.Second
	// untoldLifetime is how long the request of a trial that has told nothing may still tell of it: it
	// may have waited for a slot. It exceeds the deadlines of requests.
	untoldLifetime = time.Minute
)

// The results of a trial, as metrics name them.
const (
	trialSurvived = "survived"
	trialLost     = "lost"
	trialUnused   = "unused"
)

// Who has released a cause, as logs and metrics name it: a target that survived a trial at this host,
// this host as the coordinator, since other causes explain the crashes, another host, or an operator.
const (
	ByTrial    = "trial"
	ByEvidence = "evidence"
	ByHost     = "host"
	ByOperator = "operator"
)

// permit allows a host to send one request that holds a cause.
type permit struct {
	cause string
	until time.Time
	// request is the one that is sent; empty if none has come yet.
	request string
}

// trialMessage asks for a trial of a cause at a host, or grants it.
type trialMessage struct {
	Cause string        `json:"cause"`
	Host  tables.HostID `json:"host"`
}

// trialEndMessage tells that a trial has ended without a release.
type trialEndMessage struct {
	Cause string `json:"cause"`
	Lost  bool   `json:"lost"`
}

// mayTry reports whether a request may be sent although it holds a cause. The lock must be held.
func (g *Guard) mayTry(request string, cause system.Cause) bool {
	p := g.permits[cause.String()]
	return p != nil && g.clock.Now().Before(p.until) && (p.request == "" || p.request == request)
}

// askForTrials asks for a trial of each of the causes for which a request was refused, unless one of
// them is tried at another host: only one host can send a request that holds them all.
func (g *Guard) askForTrials(causes []system.Cause) {
	g.mu.Lock()
	now := g.clock.Now()
	tried := slices.ContainsFunc(causes, func(c system.Cause) bool { return g.trials.Running(now, c.String()) })
	g.mu.Unlock()
	if tried {
		return
	}
	for _, c := range causes {
		g.askForTrial(c)
	}
}

// askForTrial asks the coordinator for a trial of a cause, for which a request was refused.
func (g *Guard) askForTrial(cause system.Cause) {
	name := cause.String()
	g.mu.Lock()
	now := g.clock.Now()
	if now.Sub(g.askedAt[name]) < askInterval {
		g.mu.Unlock()
		return
	}
	g.askedAt[name] = now
	g.mu.Unlock()
	m := trialMessage{Cause: name, Host: g.Self}
	if g.Peers.Decides() {
		g.grantTrial(m)
		return
	}
	g.Peers.NotifyDeciders(methodAskTrial, m)
}

// grantTrial grants a trial if this host is the coordinator and one is due.
func (g *Guard) grantTrial(m trialMessage) {
	if !g.Peers.Decides() {
		return
	}
	g.mu.Lock()
	foundAt, known := g.causes.FoundAt(m.Cause)
	due := known && g.trials.Due(g.clock.Now(), m.Cause, foundAt, g.detector.LastLoss())
	if due {
		g.trials.Begin(g.clock.Now(), m.Cause)
	}
	g.mu.Unlock()
	if due {
		g.Peers.NotifyAll(methodTrial, m)
		g.beginTrial(m)
	}
}

// beginTrial records a trial that the coordinator has granted.
func (g *Guard) beginTrial(m trialMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.trials.Begin(now, m.Cause)
	if m.Host != g.Self {
		return
	}
	g.permits[m.Cause] = &permit{cause: m.Cause, until: now.Add(permitLifetime)}
	event.CrashCauseTried.Log(g.logger, zap.String("cause", m.Cause))
}

// endTrials ends the trials for whose request ended returns true, and tells the other hosts.
func (g *Guard) endTrials(result string, ended func(*permit) bool) {
	g.mu.Lock()
	over := g.takePermits(ended)
	for _, p := range over {
		g.trials.End(g.clock.Now(), p.cause, result == trialLost)
		if result == trialUnused && p.request != "" {
			g.untold = append(g.untold, p)
		}
	}
	g.mu.Unlock()
	for _, p := range over {
		g.countTrial(result)
		if result == trialSurvived {
			g.release(ByTrial, p.cause)
			continue
		}
		g.Peers.NotifyAll(methodTrialEnd, trialEndMessage{Cause: p.cause, Lost: result == trialLost})
	}
}

// takePermits removes and returns the permits for which ended returns true. The lock must be held.
func (g *Guard) takePermits(ended func(*permit) bool) []*permit {
	var taken []*permit
	take := func(p *permit) bool {
		if !ended(p) {
			return false
		}
		taken = append(taken, p)
		return true
	}
	maps.DeleteFunc(g.permits, func(_ string, p *permit) bool { return take(p) })
	g.untold = slices.DeleteFunc(g.untold, take)
	return taken
}

func (g *Guard) countTrial(result string) {
	if g.OnTrial != nil {
		g.OnTrial(result)
	}
}

// expirePermits ends the trials that have told nothing.
func (g *Guard) expirePermits() {
	g.mu.Lock()
	now := g.clock.Now()
	g.untold = slices.DeleteFunc(g.untold, func(p *permit) bool { return now.Sub(p.until) >= untoldLifetime })
	g.mu.Unlock()
	g.endTrials(trialUnused, func(p *permit) bool { return g.permits[p.cause] == p && !now.Before(p.until) })
}

func (g *Guard) recordTrialEnd(m trialEndMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trials.End(g.clock.Now(), m.Cause, m.Lost)
}

// release releases a cause at all hosts.
func (g *Guard) release(by, name string) {
	g.mu.Lock()
	foundAt, known := g.causes.FoundAt(name)
	g.mu.Unlock()
	if !known {
		return
	}
	released := causesMessage{name: foundAt.UnixMilli()}
	if err := g.ImportReleased(by, released); err != nil {
		// The name is that of a known cause.
		return
	}
	g.Peers.NotifyAll(methodReleased, released)
}

// ImportReleased removes causes that are said to be sound, by one of the constants above:
// their names, with the time at which each had been found in Unix milliseconds. It changes nothing
// and returns an error of the kind MalformedRequest if a name is not that of a cause.
func (g *Guard) ImportReleased(by string, released map[string]int64) error {
	for name := range released {
		if err := checkCause(name); err != nil {
			return err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, ms := range released {
		g.releaseLocked(by, name, time.UnixMilli(ms))
	}
	return nil
}

// releaseLocked releases a cause. Requests that were lost before are explained by something else.
// The same release comes again with each connection and each read of the store, and says nothing of
// those lost since it came first. The lock must be held.
func (g *Guard) releaseLocked(by, name string, foundAt time.Time) {
	if g.causes.IsReleased(foundAt, name) {
		return
	}
	g.detector.RecordSurvival(g.clock.Now(), system.ParseCause(name)...)
	if g.causes.Release(foundAt, name) {
		event.CrashCauseReleased.Log(g.logger, zap.String("cause", name), zap.Time("found", foundAt), zap.String("by", by))
		if g.OnRelease != nil {
			g.OnRelease(by)
		}
	}
	g.trials.Forget(name)
	delete(g.permits, name)
}

// Released returns the names of the causes that turned out to be sound, each with the time at
// which it had been found in Unix milliseconds.
func (g *Guard) Released() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int64)
	for name, foundAt := range g.causes.Released() {
		out[name] = foundAt.UnixMilli()
	}
	return out
}

// LostTrials returns how many trials of a cause cost a target, or may have, and when the last of
// them ended.
func (g *Guard) LostTrials(cause string) (lost int, lostAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trials.Lost(cause)
}

// ImportTrials records trials that the store holds. It changes nothing if this host knows of trials
// of the cause itself, or does not know the cause.
func (g *Guard) ImportTrials(cause string, lost int, lostAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.causes.FoundAt(cause); known {
		g.trials.Import(cause, lost, lostAt)
	}
}
