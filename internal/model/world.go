package model

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Rules are the rules that gates and dispatchers follow in addition to the tested
// packages. Tests disable single rules to show that the checks then detect violations.
type Rules struct {
	// SendLease: a dispatcher sends a request only within its lease and before the send
	// deadline.
	SendLease bool
	// LeaseFromSend: the lease starts when the dispatcher sends a heartbeat that the gate
	// answers. Without the rule, it may start as late as the end of a dispatcher's pause.
	LeaseFromSend bool
	// ConnectBeforeCheck: the connection is selected before the lease is checked.
	ConnectBeforeCheck bool
	// BoundSubmitDelay: a gate submits a request only within maxSubmitDelay.
	BoundSubmitDelay bool
	// WaitForHolder: the outcome of a request whose gate is unreachable is resolved only
	// after the request can no longer be sent.
	WaitForHolder bool
	// CheckOffsets: a chunk is added only if it starts where the answer ends.
	CheckOffsets bool
	// CheckComplete: a gate treats a successful answer as complete only if it has as many
	// tokens as the dispatcher reported.
	CheckComplete bool
	// CurrentLinkOnly: a gate accepts messages only from the current link.
	CurrentLinkOnly bool
	// ResumeAtOffset: a takeover resumes the answer at the offset that the gate has.
	ResumeAtOffset bool
	// CurrentAttemptOnly: a job that ended unsent counts only for the submission that
	// created it.
	CurrentAttemptOnly bool
	// QueryTarget: a cancel always queries the target. Without the rule, a host whose job
	// for the request ended unsent answers for the target that it never started the request.
	QueryTarget bool
}

// AllRules returns the rules with all of them enabled.
func AllRules() Rules {
	return Rules{SendLease: true, LeaseFromSend: true, ConnectBeforeCheck: true, BoundSubmitDelay: true, WaitForHolder: true,
		CheckOffsets: true, CheckComplete: true, CurrentLinkOnly: true, ResumeAtOffset: true, CurrentAttemptOnly: true, QueryTarget: true}
}

// Count holds the number of events of each kind in a history.
type Count struct {
	Requests, Runs, Crashes, Pauses, TargetRestarts, Outages, UnreachableTargets int
	LostAppendReplies, LostAppends, LateAppends, LostMessages                    int
	Truncations, Resolutions, ResolvedNotRun, OrphanResolutions, Retries         int
	RetriesAnswered                                                              int
	Resumes, Reattachments, Takeovers, Resubmissions, LateChunks, MissingChunks  int
	Replies, AcquireErrors                                                       map[errkind.Kind]int
}

// faults holds the probabilities of random faults. appendFault is the probability of
// each of three faults of an append: a lost reply, a lost append and a late append.
type faults struct {
	appendFault, lostMessage, lostDispatcher, pause float64
}

// world is the state of one history.
type world struct {
	sim    *sim
	rules  Rules
	faults faults
	count  Count
	log    *modelLog
	hosts  []*host

	// streams makes every request a generation.
	streams bool
	// generated is the text that the targets have generated so far, by request.
	generated map[tables.RequestID]string

	targets       map[tables.TargetID]*modelTarget
	allTargets    []tables.TargetID
	targetsDigest uint64

	replies []reply
	// dispatches and runs count the sends and the runs of each request.
	dispatches map[tables.RequestID]int
	runs       map[tables.RequestID]int
	// keyRuns holds the requests that ran, by key.
	keyRuns    map[claim.Key][]tables.RequestID
	violations []string
}

// addViolation adds a violation of a guarantee.
func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// recordRun records that a target started a request.
func (w *world) recordRun(req *gateRequest) {
	w.count.Runs++
	w.runs[req.id]++
	w.keyRuns[req.key] = append(w.keyRuns[req.key], req.id)
}

// anyHost returns a random host.
func (w *world) anyHost() *host { return w.hosts[w.sim.rng.IntN(len(w.hosts))] }

func (w *world) anyTarget() *modelTarget {
	return w.targets[w.allTargets[w.sim.rng.IntN(len(w.allTargets))]]
}

func (w *world) targetIDs() []tables.TargetID { return w.allTargets }

// gateOf returns the host that the request ID names, or the first host if none has the
// name.
func (w *world) gateOf(id tables.RequestID) *host {
	name, err := id.Home()
	if err != nil {
		w.addViolation("%v", err)
	}
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return w.hosts[0]
}

// newUUID returns a random UUID version 7 with the given time.
func (w *world) newUUID(at time.Time) uuid.UUID {
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

// newRequestID returns a new request ID with h as its home.
func (w *world) newRequestID(h *host) tables.RequestID {
	w.count.Requests++
	return tables.NewRequestID(h.name, w.newUUID(w.sim.now))
}

// scheduleSend schedules a request with a key at a random gate after d.
func (w *world) scheduleSend(d time.Duration, key claim.Key) {
	w.sim.after(d, func() {
		h := w.anyHost()
		h.post(func() { h.receive(key) })
	})
}

// scheduleRetry schedules a retry of a caller whose request did not run. A history has
// at most maxRetries of them.
func (w *world) scheduleRetry(key claim.Key) {
	if w.count.Retries < maxRetries {
		w.count.Retries++
		w.scheduleSend(w.sim.between(time.Millisecond, 6*time.Second), key)
	}
}
