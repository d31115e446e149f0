package allocation

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/fairshare"
	"github.com/bluebellseam/bluebellseam/internal/systems/latency"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Scheduler schedules slot requests. It holds the targets and the queue of each
// service. It is not safe for concurrent use.
type Scheduler struct {
	services map[tables.ServiceID]*service
	grants   map[ID]*grant
	senders  *reach.Senders
	// settledAt is when all hosts have reported the slots that they hold since the last
	// takeover.
	settledAt time.Time
	// fairShares is true if customers get fair shares of a pool with too little capacity.
	fairShares bool
	// Random returns a number in [0, 1). It is used to add jitter to Retry-After.
	Random func() float64
	// OnEjection is called when a target is ejected that was not. It may be nil.
	OnEjection func(Ejection)
	// OnShortage is called when a pool has too little capacity and did not before, or has
	// enough again. It may be nil.
	OnShortage func(Shortage)
	// OnExcusedLoss is called when a lost connection does not count for a target. It may be
	// nil.
	OnExcusedLoss func(ExcusedLoss)
}

// Ejection is a time for which no request is granted a target.
type Ejection struct {
	Target tables.TargetID
	// Host is the host whose request had the outcome that led to the ejection.
	Host    tables.HostID
	Outcome Outcome
}

// service holds the queue, the targets and the latency estimates of a service.
type service struct {
	latency  *latency.Model
	eventGap *latency.EventGap
	targets  map[tables.TargetID]*target
	queue    []*SlotRequest
	retries  retryAdvisor
	shares   *fairshare.Shares
	// waiting is the expected slot time, in seconds, of the requests that competed for slots
	// in the last pass and got none.
	waiting float64
	// everBrittle is true once a target has said that it is brittle.
	everBrittle bool
	// rules say which targets requests may get during and after a rollout; nil if they may
	// get any.
	rules VersionRules
	// memory is that of each target, output what is known of the output of requests, and
	// claims the targets whose memory is being freed.
	memory Memory
	output OutputEstimate
	claims claims
}

// NewScheduler returns a scheduler without targets. random returns numbers in
// [0, 1).
func NewScheduler(random func() float64) *Scheduler {
	return &Scheduler{
		services: make(map[tables.ServiceID]*service),
		grants:   make(map[ID]*grant),
		senders:  reach.NewSenders(),
		Random:   random,
	}
}

func (sched *Scheduler) service(id tables.ServiceID) *service {
	s := sched.services[id]
	if s == nil {
		s = &service{latency: latency.NewModel(), eventGap: latency.NewEventGap(), targets: make(map[tables.TargetID]*target), shares: fairshare.New()}
		sched.services[id] = s
	}
	return s
}

// SetTargets replaces the list of targets. Removed targets are kept until
// their slots are released.
func (sched *Scheduler) SetTargets(targets []fleet.Target) {
	listed := make(map[tables.TargetID]bool, len(targets))
	serviceOf := make(map[tables.TargetID]tables.ServiceID, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		serviceOf[target.ID] = target.Service
		sched.service(target.Service).setTarget(target, sched.senders)
	}
	for name, s := range sched.services {
		s.removeUnlisted(name, serviceOf)
	}
	sched.senders.KeepTargets(listed)
}

func (s *service) setTarget(updated fleet.Target, senders *reach.Senders) {
	known := s.targets[updated.ID]
	if known == nil {
		s.targets[updated.ID] = newTarget(updated, senders)
		return
	}
	if !known.StartedAt.Equal(updated.StartedAt) || known.Address != updated.Address {
		// Failures from before a restart or a change of the address do not
		// count. The slowdown is kept.
		known.losses = losses{}
		known.failureShare, known.responses = 0, 0
		known.ejectedUntil = time.Time{}
		known.limit, known.brittle = rateLimit{}, brittleness{}
	}
	known.Target = updated
	known.removed = false
}

// removeUnlisted removes the targets that the list does not have or has for another service: a
// target may start again under its ID for another one.
func (s *service) removeUnlisted(name tables.ServiceID, serviceOf map[tables.TargetID]tables.ServiceID) {
	for id, target := range s.targets {
		if service, listed := serviceOf[id]; listed && service == name {
			continue
		}
		target.removed = true
		if target.inUse <= 0 {
			delete(s.targets, id)
		}
	}
}

// Estimates holds the estimates of a scheduler. The coordinator sends them to
// the other hosts, so that a new coordinator can import them.
type Estimates struct {
	Slowdowns map[tables.TargetID]float64           `json:"speeds,omitempty"`
	Services  map[tables.ServiceID]ServiceEstimates `json:"services,omitempty"`
}

// ServiceEstimates holds the estimates that apply to all targets of a service.
type ServiceEstimates struct {
	Weights  latency.Weights `json:"weights"`
	EventGap time.Duration   `json:"gap"`
	// Output is nil unless the memory of targets is limited.
	Output *OutputEstimate `json:"out,omitempty"`
}

// slowdownPrecision is the number of steps per unit in which slowdowns are sent.
const slowdownPrecision = 1000

// Estimates returns the estimates of all services and targets that have any,
// observed or imported.
func (sched *Scheduler) Estimates() Estimates {
	estimates := Estimates{Slowdowns: make(map[tables.TargetID]float64), Services: make(map[tables.ServiceID]ServiceEstimates)}
	for name, s := range sched.services {
		if weights, known := s.latency.Weights(); known {
			estimates.Services[name] = ServiceEstimates{Weights: weights, EventGap: s.eventGap.Mean(), Output: s.exportOutput()}
		}
		for id, target := range s.targets {
			if target.slowdown.Known() {
				estimates.Slowdowns[id] = math.Round(target.slowdown.Value()*slowdownPrecision) / slowdownPrecision
			}
		}
	}
	return estimates
}

// ImportEstimates imports the estimates of another scheduler where this one has
// none of its own.
func (sched *Scheduler) ImportEstimates(estimates Estimates) {
	for name, shared := range estimates.Services {
		s := sched.service(name)
		s.latency.Import(shared.Weights)
		s.eventGap.Import(shared.EventGap)
		s.importOutput(shared.Output)
	}
	for _, s := range sched.services {
		for id, target := range s.targets {
			if !target.slowdown.Known() {
				target.slowdown = latency.NewSlowdown(estimates.Slowdowns[id])
			}
		}
	}
}

// Enqueue queues a slot request.
func (sched *Scheduler) Enqueue(r *SlotRequest) {
	s := sched.service(r.Service)
	s.queue = append(s.queue, r)
}

// Cancel removes a queued request. It returns false if the request is not
// queued.
func (sched *Scheduler) Cancel(service tables.ServiceID, id ID) bool {
	s := sched.service(service)
	for i, r := range s.queue {
		if r.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// RecordFirstByte records the first byte of a response. took is the time since
// the request was sent.
func (sched *Scheduler) RecordFirstByte(now time.Time, id ID, took time.Duration) {
	g := sched.grants[id]
	if g == nil {
		return
	}
	sched.senders.Succeeded(now, g.sentBy(), g.target.ID)
	s := sched.service(g.request.Service)
	g.target.slowdown.Observe(took, g.baseline)
	if g.alone && g.target.slowdown.Known() {
		s.latency.Observe(g.request.PromptTokens, time.Duration(float64(took)/g.target.slowdown.Value()))
	}
	g.target.recordFirstByte(now, g, s.latency)
}

// RecordEventGap records the mean event gap of a stream. It must be called
// before the slot of the grant is released.
func (sched *Scheduler) RecordEventGap(id ID, mean time.Duration) {
	g := sched.grants[id]
	if g == nil || mean <= 0 {
		return
	}
	gap := sched.service(g.request.Service).eventGap
	if gap.Known() {
		g.target.slowdown.Observe(mean, gap.Mean())
	}
	gap.Observe(time.Duration(float64(mean) / g.target.slowdown.Value()))
}

// RecordSender records that a host has sent the request of a grant for the host that
// holds the slot.
func (sched *Scheduler) RecordSender(id ID, sender tables.HostID) {
	if g := sched.grants[id]; g != nil {
		g.sender = sender
	}
}

// RecordHost records what a host says of itself.
func (sched *Scheduler) RecordHost(r reach.HostReport) { sched.senders.RecordHost(r) }

// TargetOf returns the target of a grant, or an empty ID if there is no such
// grant.
func (sched *Scheduler) TargetOf(id ID) tables.TargetID {
	if g := sched.grants[id]; g != nil {
		return g.target.ID
	}
	return ""
}

// Release releases the slot of a grant and records the outcome for the target. An unused
// slot says nothing of how long requests run, nor of how many finish.
func (sched *Scheduler) Release(now time.Time, id ID, outcome Outcome) {
	g := sched.grants[id]
	if g == nil {
		return
	}
	delete(sched.grants, id)
	sched.senders.EndRelay(g.through)
	s := sched.service(g.request.Service)
	if outcome.Sent() {
		s.retries.recordRelease(now)
		s.retries.recordDuration(now.Sub(g.grantedAt))
	}
	s.shares.Release(now, g.charge, now.Sub(g.grantedAt), outcome.Sent())
	if outcome.answered() {
		sched.senders.Succeeded(now, g.sentBy(), g.target.ID)
	}
	if outcome == Unsent {
		sched.senders.RecordUnreached(now, g.request.Host, g.target.ID)
	}
	wasEjected := g.target.ejected(now)
	g.target.release(now, g, sched.excuseLoss(now, s, g, outcome), s.latency)
	s.freeMemory(now, g)
	g.target.brittle.recordOutcome(now, outcome, g.target.Slots, g.target.inUse)
	if !wasEjected && g.target.ejected(now) && sched.OnEjection != nil {
		sched.OnEjection(Ejection{Target: g.target.ID, Host: g.sentBy(), Outcome: outcome})
	}
	if g.target.removed && g.target.inUse <= 0 {
		delete(s.targets, g.target.ID)
	}
}

// HeldSlot is a slot that a host reports as in use.
type HeldSlot struct {
	Request *SlotRequest
	Target  tables.TargetID
}

// reconcileMinAge is the age above which a grant that its host does not report
// is released. A younger grant may not have reached its host yet when the host
// made the report.
const reconcileMinAge = time.Second

// Reconcile replaces the recorded grants of a host with the slots that it
// reports as in use. Slots granted by another coordinator are added if their
// targets are known. Grants older than reconcileMinAge that the host does not
// report are released, because the message about their release was lost.
func (sched *Scheduler) Reconcile(now time.Time, host tables.HostID, held []HeldSlot) {
	reported := make(map[ID]bool, len(held))
	for _, slot := range held {
		reported[slot.Request.ID] = true
		sched.addHeld(now, slot)
	}
	for id, g := range sched.grants {
		if g.request.Host == host && !reported[id] && now.Sub(g.grantedAt) > reconcileMinAge {
			sched.Release(now, id, Abandoned)
		}
	}
}

func (sched *Scheduler) addHeld(now time.Time, slot HeldSlot) {
	target := sched.service(slot.Request.Service).targets[slot.Target]
	if target == nil || sched.grants[slot.Request.ID] != nil {
		return
	}
	target.inUse++
	g := &grant{request: slot.Request, target: target, grantedAt: now}
	if sched.fairShares {
		g.charge = sched.service(slot.Request.Service).shares.Adopt(now, slot.Request.shareRequest())
	}
	sched.grants[slot.Request.ID] = g
	sched.service(slot.Request.Service).takeMemory(now, g)
}

// RemoveHost removes the queued requests of a host and releases its slots.
func (sched *Scheduler) RemoveHost(now time.Time, host tables.HostID) {
	sched.senders.Remove(host)
	for _, s := range sched.services {
		queue := s.queue[:0]
		for _, r := range s.queue {
			if r.Host != host {
				queue = append(queue, r)
			}
		}
		s.queue = queue
	}
	for id, g := range sched.grants {
		if g.request.Host == host {
			sched.Release(now, id, Abandoned)
		}
	}
}

// Queued returns the number of queued requests.
func (sched *Scheduler) Queued() int {
	n := 0
	for _, s := range sched.services {
		n += len(s.queue)
	}
	return n
}

// InUse returns the number of slots in use.
func (sched *Scheduler) InUse() int { return len(sched.grants) }
