package model

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Sizes of a history.
const (
	hostCount   = 3
	targetCount = 2
	keyCount    = 4
	maxSends    = 4
	maxResends  = 12
	faultWindow = 30 * time.Second
	duration    = 240 * time.Second
)

// Run plays the history of a seed to its end and returns what happened, and
// each broken promise as one line.
func Run(seed uint64, rules Rules) (Count, []string) {
	return newWorld(seed, rules).play()
}

// RunStreams is Run with generations in place of plain calls.
func RunStreams(seed uint64, rules Rules) (Count, []string) {
	w := newWorld(seed, rules)
	w.streams = true
	return w.play()
}

func (w *world) play() (Count, []string) {
	w.planFaults()
	for range keyCount {
		w.planKey()
	}
	w.sim.run(epoch.Add(duration))
	w.check()
	return w.count, w.failures
}

func newWorld(seed uint64, rules Rules) *world {
	w := &world{
		sim:        newSim(seed),
		rules:      rules,
		targets:    make(map[tables.TargetID]*modelTarget),
		dispatches: make(map[tables.RequestID]int),
		runs:       make(map[tables.RequestID]int),
		own:        make(map[tables.RequestID]string),
		keyRuns:    make(map[claim.Key][]tables.RequestID),
	}
	w.count.Replies = make(map[errkind.Kind]int)
	w.count.Refused = make(map[errkind.Kind]int)
	w.log = &modelLog{w: w, retention: longRetention}
	if w.sim.chance(0.25) {
		w.log.retention = shortRetention
	}
	for i := range targetCount {
		t := &modelTarget{w: w, id: tables.TargetID(fmt.Sprintf("t%d", i))}
		t.calls = make(map[tables.RequestID]*modelCall)
		t.tombstones = make(map[tables.RequestID]bool)
		w.targets[t.id] = t
		w.ids = append(w.ids, t.id)
	}
	w.digest = claim.TargetsDigest(w.ids)
	for i := range hostCount {
		h := &host{w: w, name: tables.HostID(fmt.Sprintf("h%d", i)), offset: w.sim.between(-clockSkew/2, clockSkew/2)}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

// planFaults draws how bad this history is. One in four has no faults beyond
// slow messages.
func (w *world) planFaults() {
	if w.sim.chance(0.25) {
		return
	}
	level := w.sim.rng.Float64()
	w.faults = faults{
		lostAnswer:     0.25 * level * w.sim.rng.Float64(),
		lostMessage:    0.2 * level * w.sim.rng.Float64(),
		lostDispatcher: 0.6 * level,
		pause:          0.15 * level,
	}
	w.sometimes(0.5, func() { w.anyHost().crashIfUp() })
	w.sometimes(0.4, func() { w.anyHost().crashIfUp() })
	w.sometimes(0.5, func() { w.anyHost().pause(w.sim.between(time.Second, 30*time.Second)) })
	w.sometimes(0.5, func() { w.anyTarget().restart() })
	w.sometimes(0.4, func() { w.anyTarget().restart() })
	w.sometimes(0.4, func() {
		w.count.Silences++
		t := w.anyTarget()
		t.silent = true
		w.sim.after(w.sim.between(time.Second, 20*time.Second), func() { t.silent = false })
	})
	w.sometimes(0.4, func() {
		w.count.Outages++
		w.log.down = true
		w.sim.after(w.sim.between(time.Second, 20*time.Second), func() { w.log.down = false })
	})
	w.sometimes(0.3, func() {
		w.log.slow = w.sim.between(100*time.Millisecond, 5*time.Second)
		w.sim.after(w.sim.between(time.Second, 30*time.Second), func() { w.log.slow = 0 })
	})
}

// sometimes plans f for some time in the fault window with probability p.
func (w *world) sometimes(p float64, f func()) {
	at := w.sim.between(0, faultWindow)
	if w.sim.chance(p) {
		w.sim.after(at, f)
	}
}

func (h *host) crashIfUp() {
	if h.up {
		h.crash()
	}
}

// planKey lets a caller make a key and send it several times: at once from
// several hosts, again a little later, and again around its expiry.
func (w *world) planKey() {
	begin := w.sim.between(0, faultWindow/2)
	made := epoch.Add(begin).Add(w.sim.between(-clockSkew/2, clockSkew/2))
	key := claim.Key{Customer: "c", Service: "s", ID: w.newID(made)}
	for range 1 + w.sim.rng.IntN(maxSends) {
		switch p := w.sim.rng.Float64(); {
		case p < 0.5:
			w.send(begin+w.sim.between(0, 20*time.Millisecond), key)
		case p < 0.85:
			w.send(begin+w.sim.between(0, 20*time.Second), key)
		default:
			w.send(begin+window+w.sim.between(-15*time.Second, 30*time.Second), key)
		}
	}
}

// check states what must hold at the end of every history.
func (w *world) check() {
	for id, n := range w.dispatches {
		if n > 1 {
			w.fail("request %s was dispatched %d times", id, n)
		}
	}
	for key, ids := range w.keyRuns {
		if len(ids) > 1 {
			w.fail("key %s ran %d times: %v", key.ID, len(ids), ids)
		}
	}
	for _, r := range w.replies {
		w.checkReply(r)
	}
}

func (w *world) checkReply(r reply) {
	switch r.kind.Answer().Ran {
	case errkind.RanNo:
		if w.runs[r.id] > 0 || w.runs[r.about] > 0 {
			w.fail("request %s was told %s about %s, which ran", r.id, r.kind, r.about)
		}
	case errkind.RanYes:
		if w.runs[r.about] == 0 {
			w.fail("request %s was told %q about %s, which did not run", r.id, r.kind, r.about)
		}
	}
	if w.streams {
		w.checkStream(r)
		return
	}
	if r.kind == errkind.None && r.body != answerOf(r.about) {
		w.fail("request %s got the answer %q of %s", r.id, r.body, r.about)
	}
	if r.kind != errkind.None && r.body != "" {
		w.fail("request %s got an answer with the kind %s", r.id, r.kind)
	}
}
