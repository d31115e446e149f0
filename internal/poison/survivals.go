package poison

import (
	"maps"
	"time"

	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxSurvivors bounds the number of traits of which the last survival is kept.
	maxSurvivors = 4096
	// reportInterval is the minimum time between two reports of survivals.
	reportInterval = 50 * time.Millisecond
)

// Survived records that a request of a service with the given traits got past the beginning
// of its answer.
func (g *Guard) Survived(request string, service tables.ServiceID, traits []system.Trait) {
	if g == nil {
		return
	}
	g.endTrials(trialSurvived, func(p *permit) bool { return p.request == request && request != "" })
	g.mu.Lock()
	now := g.clock.Now()
	for _, t := range traits {
		g.survivors.Add(t, now)
	}
	g.detector.CountSurvivals(now, service, 1)
	if len(g.suspects) == 0 {
		g.mu.Unlock()
		return
	}
	if g.suspects[system.CountTrait] {
		g.survivedCounts[service]++
	}
	for _, t := range traits {
		if g.suspects[t] {
			g.survivedSuspects[t] = true
		}
	}
	var report survivalMessage
	if now.Sub(g.reportedAt) >= reportInterval {
		report = g.takeReport(now)
	}
	g.mu.Unlock()
	g.report(report)
}

// takeReport returns the report of the survivals since the last one. The lock must be
// held.
func (g *Guard) takeReport(now time.Time) survivalMessage {
	m := survivalMessage{AgeMS: make(map[system.Trait]int64), Counts: maps.Clone(g.survivedCounts)}
	for t := range g.survivedSuspects {
		if at, survived := g.survivors.Get(t); survived {
			m.AgeMS[t] = now.Sub(at).Milliseconds()
		}
	}
	g.reportedAt = now
	clear(g.survivedCounts)
	clear(g.survivedSuspects)
	return m
}

// report sends survivals to the hosts that may decide.
func (g *Guard) report(m survivalMessage) {
	if len(m.AgeMS) == 0 && len(m.Counts) == 0 {
		return
	}
	g.Peers.NotifyDeciders(methodSurvived, m)
	// This host has counted its own.
	g.recordSurvivals(survivalMessage{AgeMS: m.AgeMS})
}

// watchFor makes this host report survivals with the traits from now on, and the last one
// with each if there was any.
func (g *Guard) watchFor(traits []system.Trait) {
	g.mu.Lock()
	clear(g.suspects)
	for _, t := range traits {
		g.suspects[t] = true
		if _, survived := g.survivors.Get(t); survived {
			g.survivedSuspects[t] = true
		}
	}
	report := g.takeReport(g.clock.Now())
	g.mu.Unlock()
	g.report(report)
}

func (g *Guard) recordSurvivals(m survivalMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for t, age := range m.AgeMS {
		g.detector.RecordSurvival(now.Add(-time.Duration(age)*time.Millisecond), t)
	}
	for service, n := range m.Counts {
		g.detector.CountSurvivals(now, service, n)
	}
	g.decideSoon()
}
