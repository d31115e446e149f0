package model

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Rules are what dispatchers and gates must keep to beyond the systems; each
// can be switched off to show that Check misses it.
type Rules struct {
	// SendLease: a dispatcher sends only under its lease and before the due.
	SendLease bool
	// LeaseFromSend: the lease counts from the sending of an answered heartbeat,
	// not from when the dispatcher notices a message.
	LeaseFromSend bool
	// ConnectFirst: the connection is picked before the lease is checked.
	ConnectFirst bool
	// SubmitWithin: a gate does not submit long after its acquire call.
	SubmitWithin bool
	// HolderLapse: the request of a dead gate is settled only after every
	// bound on its send has passed.
	HolderLapse bool
	// OffsetCheck: a part counts only where it continues the answer.
	OffsetCheck bool
	// WholeCheck: an answer is whole only with every token that its end names.
	WholeCheck bool
	// SourceOnly: a gate hears the connection of its present attempt alone.
	SourceOnly bool
	// ResumeAtOffset: an answer is taken over at the token that the gate has.
	ResumeAtOffset bool
	// PresentAttempt: a refusal counts for the submission that it answers alone.
	PresentAttempt bool
	// AskTarget: a dispatcher that refused a request asks the target when it is
	// to cancel it.
	AskTarget bool
}

// AllRules are the rules in force.
func AllRules() Rules {
	return Rules{SendLease: true, LeaseFromSend: true, ConnectFirst: true, SubmitWithin: true, HolderLapse: true,
		OffsetCheck: true, WholeCheck: true, SourceOnly: true, ResumeAtOffset: true, PresentAttempt: true, AskTarget: true}
}

// Count tells what happened in a history.
type Count struct {
	Requests, Runs, Crashes, Pauses, TargetRestarts, Outages, Silences int
	LostAnswers, LostAppends, LateAppends, LostMessages                int
	Truncations, Settled, SettledNotRun, OrphansSettled, Resends       int
	RepeatsAnswered                                                    int
	Resumes, Reattached, TakenOver, Resubmitted, LateParts, Gaps       int
	Replies, Refused                                                   map[errkind.Kind]int
}

type faults struct {
	lostAnswer, lostMessage, lostDispatcher, pause float64
}

// world is one history.
type world struct {
	sim    *sim
	rules  Rules
	faults faults
	count  Count
	log    *modelLog
	hosts  []*host

	// streams makes every request a generation.
	streams bool
	// own is the target's own text of each dispatch, as far as it got.
	own map[tables.RequestID]string

	targets map[tables.TargetID]*modelTarget
	ids     []tables.TargetID
	digest  uint64

	replies    []reply
	dispatches map[tables.RequestID]int
	runs       map[tables.RequestID]int
	keyRuns    map[claim.Key][]tables.RequestID
	failures   []string
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) ran(f *flight) {
	w.count.Runs++
	w.runs[f.id]++
	w.keyRuns[f.key] = append(w.keyRuns[f.key], f.id)
}

func (w *world) anyHost() *host { return w.hosts[w.sim.rng.IntN(len(w.hosts))] }

func (w *world) anyTarget() *modelTarget { return w.targets[w.ids[w.sim.rng.IntN(len(w.ids))]] }

func (w *world) targetIDs() []tables.TargetID { return w.ids }

func (w *world) gateOf(id tables.RequestID) *host {
	name, err := id.Home()
	if err != nil {
		w.fail("%v", err)
	}
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return w.hosts[0]
}

func (w *world) newID(at time.Time) uuid.UUID {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(w.sim.rng.UintN(256))
	}
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}

func (w *world) newRequest(h *host) tables.RequestID {
	w.count.Requests++
	return tables.NewRequestID(h.name, w.newID(w.sim.time))
}

// send lets a caller send a key to some gate after d.
func (w *world) send(d time.Duration, key claim.Key) {
	w.sim.after(d, func() {
		h := w.anyHost()
		h.post(func() { h.request(key) })
	})
}

// resend lets a caller send a key again after it was told "not run".
func (w *world) resend(key claim.Key) {
	if w.count.Resends < maxResends {
		w.count.Resends++
		w.send(w.sim.between(time.Millisecond, 6*time.Second), key)
	}
}
