package model

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Sizes and times of a history. Faults begin within faultPeriod of its start.
const (
	hostCount       = 3
	targetCount     = 2
	keyCount        = 4
	maxSendsPerKey  = 4
	maxRetries      = 12
	faultPeriod     = 30 * time.Second
	historyDuration = 240 * time.Second
)

// Run simulates the history of a seed with plain calls. It returns the event counts
// and one line for each violation of a guarantee.
func Run(seed uint64, rules Rules) (Count, []string) {
	return newWorld(seed, rules).run()
}

// RunStreams is Run with streamed generations instead of plain calls.
func RunStreams(seed uint64, rules Rules) (Count, []string) {
	w := newWorld(seed, rules)
	w.streams = true
	return w.run()
}

// run simulates the history and checks the guarantees at its end.
func (w *world) run() (Count, []string) {
	w.scheduleFaults()
	for range keyCount {
		w.scheduleKey()
	}
	w.sim.run(epoch.Add(historyDuration))
	w.checkGuarantees()
	return w.count, w.violations
}

// newWorld returns a history of plain calls before its first event.
func newWorld(seed uint64, rules Rules) *world {
	w := &world{
		sim:        newSim(seed),
		rules:      rules,
		targets:    make(map[tables.TargetID]*modelTarget),
		dispatches: make(map[tables.RequestID]int),
		runs:       make(map[tables.RequestID]int),
		generated:  make(map[tables.RequestID]string),
		keyRuns:    make(map[claim.Key][]tables.RequestID),
	}
	w.count.Replies = make(map[errkind.Kind]int)
	w.count.AcquireErrors = make(map[errkind.Kind]int)
	w.log = &modelLog{w: w, retention: longRetention}
	if w.sim.chance(0.25) {
		w.log.retention = shortRetention
	}
	for i := range targetCount {
		t := &modelTarget{w: w, id: tables.TargetID(fmt.Sprintf("t%d", i))}
		t.calls = make(map[tables.RequestID]*modelCall)
		t.tombstones = make(map[tables.RequestID]bool)
		w.targets[t.id] = t
		w.allTargets = append(w.allTargets, t.id)
	}
	w.targetsDigest = claim.TargetsDigest(w.allTargets)
	for i := range hostCount {
		h := &host{w: w, name: tables.HostID(fmt.Sprintf("h%d", i)), clockOffset: w.sim.between(-clockSkew/2, clockSkew/2)}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

// scheduleFaults chooses the faults of the history at random. One history in four has
// none of these faults. Slow messages, clock offsets and a short log retention occur in any
// history.
func (w *world) scheduleFaults() {
	if w.sim.chance(0.25) {
		return
	}
	level := w.sim.rng.Float64()
	w.faults = faults{
		appendFault:    0.25 * level * w.sim.rng.Float64(),
		lostMessage:    0.2 * level * w.sim.rng.Float64(),
		lostDispatcher: 0.6 * level,
		pause:          0.15 * level,
	}
	w.maybeSchedule(0.5, func() { w.anyHost().crashIfUp() })
	w.maybeSchedule(0.4, func() { w.anyHost().crashIfUp() })
	w.maybeSchedule(0.5, func() { w.anyHost().pause(w.sim.between(time.Second, 30*time.Second)) })
	w.maybeSchedule(0.5, func() { w.anyTarget().restart() })
	w.maybeSchedule(0.4, func() { w.anyTarget().restart() })
	w.maybeSchedule(0.4, func() {
		w.count.UnreachableTargets++
		t := w.anyTarget()
		t.unreachable = true
		w.sim.after(w.sim.between(time.Second, 20*time.Second), func() { t.unreachable = false })
	})
	w.maybeSchedule(0.4, func() {
		w.count.Outages++
		w.log.down = true
		w.sim.after(w.sim.between(time.Second, 20*time.Second), func() { w.log.down = false })
	})
	w.maybeSchedule(0.3, func() {
		w.log.extraDelay = w.sim.between(100*time.Millisecond, 5*time.Second)
		w.sim.after(w.sim.between(time.Second, 30*time.Second), func() { w.log.extraDelay = 0 })
	})
}

// maybeSchedule schedules f at a random time in faultPeriod with probability p.
func (w *world) maybeSchedule(p float64, f func()) {
	at := w.sim.between(0, faultPeriod)
	if w.sim.chance(p) {
		w.sim.after(at, f)
	}
}

// crashIfUp crashes the host unless it is already down.
func (h *host) crashIfUp() {
	if h.up {
		h.crash()
	}
}

// scheduleKey mints a key and schedules up to maxSendsPerKey requests with it: at
// almost the same time, within 20 s, and around the expiry of the key.
func (w *world) scheduleKey() {
	firstSend := w.sim.between(0, faultPeriod/2)
	mintedAt := epoch.Add(firstSend).Add(w.sim.between(-clockSkew/2, clockSkew/2))
	key := claim.Key{Customer: "c", Service: "s", ID: w.newUUID(mintedAt)}
	for range 1 + w.sim.rng.IntN(maxSendsPerKey) {
		switch p := w.sim.rng.Float64(); {
		case p < 0.5:
			w.scheduleSend(firstSend+w.sim.between(0, 20*time.Millisecond), key)
		case p < 0.85:
			w.scheduleSend(firstSend+w.sim.between(0, 20*time.Second), key)
		default:
			w.scheduleSend(firstSend+keyWindow+w.sim.between(-15*time.Second, 30*time.Second), key)
		}
	}
}

// checkGuarantees checks the guarantees at the end of a history: each request is
// dispatched at most once, each key runs at most once, and every reply is correct.
func (w *world) checkGuarantees() {
	for id, n := range w.dispatches {
		if n > 1 {
			w.addViolation("request %s was dispatched %d times", id, n)
		}
	}
	for key, ids := range w.keyRuns {
		if len(ids) > 1 {
			w.addViolation("key %s ran %d times: %v", key.ID, len(ids), ids)
		}
	}
	for _, r := range w.replies {
		w.checkReply(r)
	}
}

// checkReply checks a reply against the runs at the targets and their answers.
func (w *world) checkReply(r reply) {
	switch r.kind.Answer().Ran {
	case errkind.RanNo:
		if w.runs[r.id] > 0 || w.runs[r.resolvedRequest] > 0 {
			w.addViolation("request %s received %s for %s, which ran", r.id, r.kind, r.resolvedRequest)
		}
	case errkind.RanYes:
		if w.runs[r.resolvedRequest] == 0 {
			w.addViolation("request %s received %q for %s, which did not run", r.id, r.kind, r.resolvedRequest)
		}
	}
	if w.streams {
		w.checkStreamReply(r)
		return
	}
	if r.kind == errkind.None && r.body != expectedAnswer(r.resolvedRequest) {
		w.addViolation("request %s received the answer %q for %s", r.id, r.body, r.resolvedRequest)
	}
	if r.kind != errkind.None && r.body != "" {
		w.addViolation("request %s received an answer with the error kind %s", r.id, r.kind)
	}
}
