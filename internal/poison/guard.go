// Package poison refuses requests that make targets crash. Hosts report the requests that
// they lost at crashes to the hosts that may become the coordinator; the coordinator
// finds the cause, and all hosts refuse the requests that hold it.
package poison

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// decideDelay is how long a decision waits for further reports.
	decideDelay = 20 * time.Millisecond
	// checkInterval is the time between decisions without a report.
	checkInterval = 500 * time.Millisecond
	// CauseLifetime is how long requests with a cause are refused.
	CauseLifetime = 24 * time.Hour
	// maxClockDifference bounds how far the clocks of two hosts are apart.
	maxClockDifference = time.Minute
)

// Peers reaches the other hosts.
type Peers interface {
	// Decides reports whether this host is the coordinator, as far as it knows.
	Decides() bool
	// NotifyDeciders sends a notification to the other hosts that may be or become the
	// coordinator.
	NotifyDeciders(method string, params any)
	// NotifyAll sends a notification to all hosts that this host reaches.
	NotifyAll(method string, params any)
}

// Guard refuses requests that hold a cause and takes part in finding causes. It is safe
// for concurrent use. A nil Guard refuses nothing.
type Guard struct {
	clock  clockwork.Clock
	logger *zap.Logger
	// Peers must be set before the first call of another method.
	Peers Peers
	// Excused reports whether a crash of a target now has another cause than a request, as
	// far as this host counts as the coordinator. It may be nil.
	Excused func(tables.ServiceID, tables.TargetID) bool
	// Self is this host. It must be set before the first call of another method if there are
	// other hosts.
	Self tables.HostID
	// OnTrial is called with the result of each trial of a cause at this host: survived, lost or
	// unused. It may be nil.
	OnTrial func(result string)
	// OnRelease is called when this host sends requests with a cause again, with who has released
	// it: trial, evidence, host or operator. It may be nil.
	OnRelease func(by string)

	mu sync.Mutex
	// seen are the latest losses that this host has seen or learned of.
	seen     []seenLoss
	causes   *system.Causes
	detector *system.Detector
	// survivors holds when requests with a trait last survived at this host.
	survivors *simplelru.LRU[system.Trait, time.Time]
	// suspects are the traits whose survivals are reported. survivedSuspects are those with
	// which requests survived since the last report, at reportedAt, and survivedCounts the
	// numbers of all requests of each service that survived since.
	suspects, survivedSuspects map[system.Trait]bool
	reportedAt                 time.Time
	survivedCounts             map[tables.ServiceID]int
	// sentSuspects are those last sent to the other hosts.
	sentSuspects []system.Trait
	// deciding is true while a timer runs the next decision.
	deciding bool
	// trials are those of all hosts, and permits those of this one, by cause. untold are permits that
	// have expired before their requests told anything. askedAt is when this host last asked for a
	// trial.
	trials  *system.Trials
	permits map[string]*permit
	untold  []*permit
	askedAt map[string]time.Time
}

// NewGuard returns a guard that knows no causes.
func NewGuard(clock clockwork.Clock, logger *zap.Logger) *Guard {
	survivors, err := simplelru.NewLRU[system.Trait, time.Time](maxSurvivors, nil)
	if err != nil {
		panic("poison: LRU of positive size refused: " + err.Error())
	}
	g := &Guard{clock: clock, logger: logger, survivors: survivors}
	g.clear()
	return g
}

func (g *Guard) clear() {
	g.causes = system.NewCauses()
	g.detector = system.NewDetector(g.causes)
	g.trials = system.NewTrials()
	g.survivors.Purge()
	g.suspects, g.survivedSuspects = make(map[system.Trait]bool), make(map[system.Trait]bool)
	g.survivedCounts = make(map[tables.ServiceID]int)
	g.permits, g.askedAt = make(map[string]*permit), make(map[string]time.Time)
	g.seen, g.sentSuspects, g.untold = nil, nil, nil
}

// Reset forgets all causes and what led to them: they are of another fleet.
func (g *Guard) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clear()
}

// Check returns an error of the kind Quarantined if a request with the given traits must
// not be sent.
func (g *Guard) Check(request string, traits []system.Trait) error {
	if g == nil {
		return nil
	}
	refusing := g.refusing(request, traits)
	if len(refusing) == 0 {
		return nil
	}
	g.askForTrials(refusing)
	return errkind.New(errkind.Quarantined, fmt.Sprintf("targets crashed under requests with %s", refusing[0]))
}

// refusing returns the causes for which a request is refused. If there are none, the request uses
// the permits of all causes that it holds.
func (g *Guard) refusing(request string, traits []system.Trait) []system.Cause {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.causes.Matching(traits)
	refusing := slices.DeleteFunc(slices.Clone(held), func(c system.Cause) bool { return g.mayTry(request, c) })
	if len(refusing) > 0 {
		return refusing
	}
	for _, c := range held {
		g.permits[c.String()].request = request
	}
	return nil
}

// Lost records and reports a loss that this host has seen.
func (g *Guard) Lost(l system.Loss) {
	if g == nil || len(l.Traits) == 0 {
		return
	}
	// The target is lost to the trial even if the loss is no evidence for a cause.
	g.endTrials(trialLost, func(p *permit) bool { return p.request == l.Request })
	if g.excused(l) {
		return
	}
	losses := []agedLoss{{Loss: l}}
	g.Peers.NotifyDeciders(methodLost, lossMessage{losses})
	g.recordLosses(losses)
}

// excused reports whether a loss that is just seen or reported is no evidence.
func (g *Guard) excused(l system.Loss) bool {
	return g.Excused != nil && g.Excused(l.Service, l.Target)
}

func (g *Guard) recordLosses(losses []agedLoss) {
	losses = slices.DeleteFunc(losses, func(l agedLoss) bool { return l.AgeMS == 0 && g.excused(l.Loss) })
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, l := range losses {
		g.recordLoss(now.Add(-time.Duration(l.AgeMS)*time.Millisecond), l.Loss)
	}
	g.decideSoon()
}

// decideSoon runs a decision after decideDelay. The lock must be held.
func (g *Guard) decideSoon() {
	if !g.deciding {
		g.deciding = true
		g.clock.AfterFunc(decideDelay, g.decide)
	}
}

// decide finds causes if this host is the coordinator, and tells the other hosts what
// has changed.
func (g *Guard) decide() {
	decides := g.Peers.Decides()
	g.mu.Lock()
	g.deciding = false
	if !decides {
		g.mu.Unlock()
		return
	}
	now := g.clock.Now()
	found := g.detector.Decide(now)
	for _, c := range found {
		event.CrashCauseFound.Log(g.logger, zap.Stringer("cause", c), zap.Int("crashes", g.detector.Crashes(c)), zap.Strings("lost", g.detector.LostUnder(c)))
	}
	suspects := g.detector.Suspects(now)
	changed := !slices.Equal(suspects, g.sentSuspects)
	g.sentSuspects = suspects
	causes := g.export()
	disproved := g.detector.Disproved()
	g.mu.Unlock()
	for _, c := range disproved {
		g.release(ByEvidence, c.String())
	}
	if len(found) > 0 {
		g.Peers.NotifyAll(methodCauses, causes)
	}
	if changed {
		g.Peers.NotifyAll(methodSuspects, suspects)
		g.watchFor(suspects)
	}
}

// Import adds causes that another host or the store knows: their names, with the time at
// which each was found in Unix milliseconds. Those that can't be read change nothing; the error
// names them and is of the kind MalformedRequest.
func (g *Guard) Import(causes map[string]int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var unread []error
	for name, ms := range causes {
		foundAt := time.UnixMilli(ms)
		cause, err := readCause(now, name, foundAt)
		if err != nil {
			unread = append(unread, err)
			continue
		}
		if now.Sub(foundAt) < CauseLifetime && g.causes.Add(foundAt, cause) {
			event.CrashCauseLearned.Log(g.logger, zap.String("cause", name), zap.Time("found", foundAt))
		}
	}
	if len(unread) == 0 {
		return nil
	}
	return errkind.New(errkind.MalformedRequest, errors.Join(unread...).Error())
}

// readCause reads a cause that was found at a time. One that seems to be found later than now would
// not be tried until then.
func readCause(now time.Time, name string, foundAt time.Time) (system.Cause, error) {
	if foundAt.Sub(now) > maxClockDifference {
		return nil, fmt.Errorf("cause %q is said to be found at %s, which is in the future", name, foundAt.UTC().Format(time.RFC3339))
	}
	return system.ReadCause(name)
}

// Causes returns the names of the known causes, each with the time at which it was found
// in Unix milliseconds.
func (g *Guard) Causes() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.export()
}

func (g *Guard) export() causesMessage {
	out := make(causesMessage)
	for name, foundAt := range g.causes.All() {
		out[name] = foundAt.UnixMilli()
	}
	return out
}

// Run decides every checkInterval, since a cause may need no further report, and forgets
// causes after CauseLifetime, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(checkInterval):
		}
		g.forgetOld()
		g.expirePermits()
		g.decide()
	}
}

func (g *Guard) forgetOld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for name, foundAt := range g.causes.All() {
		if now.Sub(foundAt) >= CauseLifetime {
			g.remove(name)
		}
	}
}

// remove removes a cause. The lock must be held.
func (g *Guard) remove(name string) {
	if g.causes.Remove(name) {
		g.trials.Forget(name)
		delete(g.permits, name)
		delete(g.askedAt, name)
		event.CrashCauseForgotten.Log(g.logger, zap.String("cause", name))
	}
}
