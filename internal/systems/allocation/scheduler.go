package allocation

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/latency"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Scheduler schedules slot requests. It holds the targets and the queue of each
// service. It is not safe for concurrent use.
type Scheduler struct {
	services map[tables.ServiceID]*service
	grants   map[ID]*grant
	// Random returns a number in [0, 1). It is used to add jitter to Retry-After.
	Random func() float64
}

// service holds the queue, the targets and the latency estimates of a service.
type service struct {
	latency  *latency.Model
	eventGap *latency.EventGap
	targets  map[tables.TargetID]*target
	queue    []*SlotRequest
	retries  retryAdvisor
}

// NewScheduler returns a scheduler without targets. random returns numbers in
// [0, 1).
func NewScheduler(random func() float64) *Scheduler {
	return &Scheduler{
		services: make(map[tables.ServiceID]*service),
		grants:   make(map[ID]*grant),
		Random:   random,
	}
}

func (t *Scheduler) service(id tables.ServiceID) *service {
	s := t.services[id]
	if s == nil {
		s = &service{latency: latency.NewModel(), eventGap: latency.NewEventGap(), targets: make(map[tables.TargetID]*target)}
		t.services[id] = s
	}
	return s
}

// SetTargets replaces the list of targets. Removed targets are kept until
// their slots are released.
func (t *Scheduler) SetTargets(targets []fleet.Target) {
	listed := make(map[tables.TargetID]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		t.service(target.Service).setTarget(target)
	}
	for _, s := range t.services {
		s.removeUnlisted(listed)
	}
}

func (s *service) setTarget(updated fleet.Target) {
	known := s.targets[updated.ID]
	if known == nil {
		s.targets[updated.ID] = newTarget(updated)
		return
	}
	if !known.StartedAt.Equal(updated.StartedAt) || known.Address != updated.Address {
		// A target that restarted under the same ID keeps only its slowdown.
		known.connectionLosses, known.failureShare, known.responses = 0, 0, 0
		known.ejectedUntil = time.Time{}
	}
	known.Target = updated
	known.removed = false
}

func (s *service) removeUnlisted(listed map[tables.TargetID]bool) {
	for id, target := range s.targets {
		if listed[id] {
			continue
		}
		target.removed = true
		if target.inUse <= 0 {
			delete(s.targets, id)
		}
	}
}

// Estimates holds the estimates of a scheduler. They are copied to other
// coordinators.
type Estimates struct {
	Slowdowns map[tables.TargetID]float64           `json:"speeds,omitempty"`
	Services  map[tables.ServiceID]ServiceEstimates `json:"services,omitempty"`
}

// ServiceEstimates holds the estimates that apply to all targets of a service.
type ServiceEstimates struct {
	Weights  latency.Weights `json:"weights"`
	EventGap time.Duration   `json:"gap"`
}

// Estimates returns the estimates for all services and targets that have
// responded.
func (t *Scheduler) Estimates() Estimates {
	estimates := Estimates{Slowdowns: make(map[tables.TargetID]float64), Services: make(map[tables.ServiceID]ServiceEstimates)}
	for name, s := range t.services {
		if weights, known := s.latency.Weights(); known {
			estimates.Services[name] = ServiceEstimates{Weights: weights, EventGap: s.eventGap.Mean()}
		}
		for id, target := range s.targets {
			if target.slowdown.Known() {
				estimates.Slowdowns[id] = target.slowdown.Value()
			}
		}
	}
	return estimates
}

// ImportEstimates imports the estimates of another scheduler where this one has
// none of its own.
func (t *Scheduler) ImportEstimates(estimates Estimates) {
	for name, shared := range estimates.Services {
		s := t.service(name)
		s.latency.Import(shared.Weights)
		s.eventGap.Import(shared.EventGap)
	}
	for _, s := range t.services {
		for id, target := range s.targets {
			if !target.slowdown.Known() {
				target.slowdown = latency.NewSlowdown(estimates.Slowdowns[id])
			}
		}
	}
}

// Enqueue queues a slot request.
func (t *Scheduler) Enqueue(r *SlotRequest) {
	s := t.service(r.Service)
	s.queue = append(s.queue, r)
}

// Cancel removes a queued request. It returns false if the request is not
// queued.
func (t *Scheduler) Cancel(service tables.ServiceID, id ID) bool {
	s := t.service(service)
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
func (t *Scheduler) RecordFirstByte(now time.Time, id ID, took time.Duration) {
	g := t.grants[id]
	if g == nil {
		return
	}
	s := t.service(g.request.Service)
	g.target.slowdown.Observe(took, g.baseline)
	if g.alone && g.target.slowdown.Known() {
		s.latency.Observe(g.request.PromptTokens, time.Duration(float64(took)/g.target.slowdown.Value()))
	}
	g.target.recordFirstByte(now, g, s.latency)
}

// RecordEventGap records the mean event gap of a finished stream.
func (t *Scheduler) RecordEventGap(id ID, mean time.Duration) {
	g := t.grants[id]
	if g == nil || mean <= 0 {
		return
	}
	gap := t.service(g.request.Service).eventGap
	if gap.Known() {
		g.target.slowdown.Observe(mean, gap.Mean())
	}
	gap.Observe(time.Duration(float64(mean) / g.target.slowdown.Value()))
}

// TargetOf returns the target of a grant, or an empty ID if there is no such
// grant.
func (t *Scheduler) TargetOf(id ID) tables.TargetID {
	if g := t.grants[id]; g != nil {
		return g.target.ID
	}
	return ""
}

// Release releases the slot of a grant and records the outcome for the target.
func (t *Scheduler) Release(now time.Time, id ID, outcome Outcome) {
	g := t.grants[id]
	if g == nil {
		return
	}
	delete(t.grants, id)
	s := t.service(g.request.Service)
	s.retries.recordRelease(now)
	s.retries.recordDuration(now.Sub(g.grantedAt))
	g.target.release(now, g, outcome, s.latency)
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
// is released. A younger grant may have been made or released while the report
// was on its way.
const reconcileMinAge = time.Second

// Reconcile replaces the recorded grants of a host with the slots that it
// reports as in use. Slots granted by another coordinator are added. Grants
// that the host does not report are released, since the message about their
// end was lost.
func (t *Scheduler) Reconcile(now time.Time, host tables.HostID, held []HeldSlot) {
	reported := make(map[ID]bool, len(held))
	for _, slot := range held {
		reported[slot.Request.ID] = true
		t.addHeld(now, slot)
	}
	for id, g := range t.grants {
		if g.request.Host == host && !reported[id] && now.Sub(g.grantedAt) > reconcileMinAge {
			t.Release(now, id, Abandoned)
		}
	}
}

func (t *Scheduler) addHeld(now time.Time, slot HeldSlot) {
	target := t.service(slot.Request.Service).targets[slot.Target]
	if target == nil || t.grants[slot.Request.ID] != nil {
		return
	}
	target.inUse++
	t.grants[slot.Request.ID] = &grant{request: slot.Request, target: target, grantedAt: now}
}

// RemoveHost removes the queued requests of a host and releases its slots.
func (t *Scheduler) RemoveHost(now time.Time, host tables.HostID) {
	for _, s := range t.services {
		queue := s.queue[:0]
		for _, r := range s.queue {
			if r.Host != host {
				queue = append(queue, r)
			}
		}
		s.queue = queue
	}
	for id, g := range t.grants {
		if g.request.Host == host {
			t.Release(now, id, Abandoned)
		}
	}
}

// Queued returns the number of queued requests.
func (t *Scheduler) Queued() int {
	n := 0
	for _, s := range t.services {
		n += len(s.queue)
	}
	return n
}

// InUse returns the number of slots in use.
func (t *Scheduler) InUse() int { return len(t.grants) }
