package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// recordInterval is the minimum time between two records of the same phase.
const recordInterval = time.Second

// Controller decides the rollout of one service. It addresses the load of a service whose
// new version may fail or be slow from the start, later, under load or on one route. It is
// not safe for concurrent use.
type Controller struct {
	order  Order
	bounds Bounds
	// restricted is true for the local fallback, which decides nothing and exposes nothing.
	restricted bool
	// share is the fraction of the fleet that this coordinator serves.
	share float64

	phase  Phase
	reason Reason
	// stored is true once the record of the phase is confirmed as stored.
	stored bool
	begun  time.Time
	// old holds the versions that are to be replaced, excluded those that an earlier order
	// has ended.
	old, excluded map[tables.SoftwareVersion]bool
	targets       targetList
	// pausedUntil is the end of the pause of exposure after a takeover.
	pausedUntil time.Time
	// percent is the step of the shift, reached at steppedAt.
	percent   int
	steppedAt time.Time

	// used counts what this coordinator has granted and taken over, hosts what each host
	// has reported, and reported is their sum.
	used       Usage
	hosts      map[tables.HostID]Usage
	reported   Usage
	exposure   exposure
	evidence   evidence
	activities map[tables.TargetID]*activity
	// meanGrants is the mean number of grants of the new targets that get requests.
	meanGrants float64
	crashTimes []crash
	durations  durations

	// recent and all are the findings at testedAt.
	recent, all Finding
	testedAt    time.Time
	// record is the latest one, made at recordedAt.
	record     Record
	recordedAt time.Time
	// adopted is the latest stored record of the order; nil if there was none.
	adopted *Record
}

// NewController returns the controller of an order that was read now. previous is the record
// of the order before it for the same service; nil if there was none.
func NewController(now time.Time, order Order, bounds Bounds, previous *Record) *Controller {
	c := &Controller{
		order: order, bounds: bounds, share: 1, phase: Observing, begun: now,
		old:        make(map[tables.SoftwareVersion]bool),
		excluded:   make(map[tables.SoftwareVersion]bool),
		hosts:      make(map[tables.HostID]Usage),
		exposure:   newExposure(),
		evidence:   newEvidence(),
		activities: make(map[tables.TargetID]*activity),
	}
	if previous != nil {
		c.exclude(*previous)
	}
	return c
}

// exclude keeps the versions that an earlier order has ended from requests. An order that
// was still in progress counts as rolled back.
func (c *Controller) exclude(previous Record) {
	ended := slices.Clone(previous.Excluded)
	if previous.Phase == Completed {
		ended = append(ended, previous.Old...)
	} else {
		ended = append(ended, previous.To)
	}
	for _, version := range ended {
		if version != c.order.To {
			c.excluded[version] = true
		}
	}
}

// Restrict makes the controller that of a local fallback. It never exposes the new version.
func (c *Controller) Restrict() { c.restricted = true }

// Order returns the order.
func (c *Controller) Order() Order { return c.order }

// Phase returns the phase.
func (c *Controller) Phase() Phase { return c.phase }

// SetOrder replaces an order by the same one with another position in the store.
func (c *Controller) SetOrder(order Order) { c.order = order }

// SetBounds replaces the bounds.
func (c *Controller) SetBounds(bounds Bounds) { c.bounds = bounds }

// SetShare sets the fraction of the fleet that this coordinator serves.
func (c *Controller) SetShare(share float64) { c.share = share }

// SetTargets replaces the targets of the service. Versions that appear during the order
// count as old.
func (c *Controller) SetTargets(targets []fleet.Target) {
	c.targets = newTargetList(targets, c.order.To)
	c.updateMeanGrants()
	for id := range c.activities {
		if _, listed := c.targets.versions[id]; !listed {
			delete(c.activities, id)
		}
	}
	if c.phase.Ended() {
		return
	}
	for _, version := range c.targets.versions {
		if version != c.order.To && !c.excluded[version] {
			c.old[version] = true
		}
	}
}

// hasNoOld reports whether the service has only ever had targets of the new version.
func (c *Controller) hasNoOld(now time.Time) bool {
	return len(c.old) == 0 && len(c.targets.ranked) > 0 && c.exposing(now) && now.Sub(c.begun) >= takeoverPause
}

func (c *Controller) deadline() time.Time { return c.begun.Add(c.order.Duration) }

// Same reports whether a record is of the order. After the store was restored, an order
// with the same content is the same one.
func (o Order) Same(r Record) bool {
	if r.Order == o.ID {
		return true
	}
	return r.Order.Incarnation != o.ID.Incarnation && r.To == o.To && r.DeadlineMS-r.BegunAtMS == o.Duration.Milliseconds()
}

// TakeOver records that this host has become the coordinator. It exposes nothing until the
// hosts have reported.
func (c *Controller) TakeOver(now time.Time) {
	c.pausedUntil = now.Add(takeoverPause)
	c.percent = 0
	c.exposure = newExposure()
	if c.adopted != nil {
		c.restoreEvidence(*c.adopted)
	}
}

// Confirm records that a record is stored.
func (c *Controller) Confirm(now time.Time, r Record) {
	if r.Order == c.order.ID && r.Phase == c.phase && !c.stored {
		c.stored = true
		c.steppedAt = now
	}
}

// Stored reports whether the record of the phase is confirmed as stored.
func (c *Controller) Stored() bool { return c.stored }

// Adopt takes over a stored record of the same order. It returns whether the phase changed.
// Of two verdicts, one that condemns the version wins, then a completed one.
func (c *Controller) Adopt(now time.Time, r Record) bool {
	if c.phase.Ended() && c.phase == r.Phase {
		c.keep(r)
		return false
	}
	c.adopted = &r
	if now.Before(c.pausedUntil) || c.evidence.newTotal.Answers == 0 {
		c.restoreEvidence(r)
	}
	if begun := time.UnixMilli(r.BegunAtMS); begun.Before(c.begun) {
		c.begun = begun
	}
	for _, version := range r.Old {
		c.old[version] = true
	}
	for _, version := range r.Excluded {
		c.excluded[version] = true
	}
	c.used = larger(c.used, r.Usage)
	switch {
	case precedence(r.Phase, r.Reason) > precedence(c.phase, c.reason):
		c.enter(now, r.Phase, r.Reason)
		c.stored = true
		c.keep(r)
		return true
	case r.Phase == c.phase:
		c.stored = true
	}
	return false
}

// keep makes a stored record of an ended rollout that of this coordinator, so that two
// coordinators do not replace each other's.
func (c *Controller) keep(r Record) {
	if r.Phase.Ended() && r.Order == c.order.ID {
		c.record = r
	}
}

// precedence orders the phases of two coordinators for the same order.
func precedence(p Phase, r Reason) int {
	switch {
	case p == RolledBack && r.condemns():
		return 4
	case p == Completed:
		return 3
	case p == RolledBack:
		return 2
	case p == Shifting:
		return 1
	default:
		return 0
	}
}

// enter begins a phase.
func (c *Controller) enter(now time.Time, p Phase, r Reason) {
	c.phase, c.reason, c.stored = p, r, false
	c.steppedAt = now
	c.record = c.newRecord()
	c.recordedAt = now
}

// Record returns what the store should hold. It changes with each phase, and at most once a
// second otherwise.
func (c *Controller) Record(now time.Time) Record {
	if c.record.Order != c.order.ID || !c.phase.Ended() && now.Sub(c.recordedAt) >= recordInterval {
		c.record = c.newRecord()
		c.recordedAt = now
	}
	return c.record
}

func (c *Controller) newRecord() Record {
	return Record{
		Order: c.order.ID, Service: c.order.Service, To: c.order.To, Phase: c.phase, Reason: c.reason,
		Old: slices.Sorted(maps.Keys(c.old)), Excluded: slices.Sorted(maps.Keys(c.excluded)),
		BegunAtMS: c.begun.UnixMilli(), DeadlineMS: c.begun.UnixMilli() + c.order.Duration.Milliseconds(),
		Usage: c.Usage(), Evidence: c.evidence.summary(),
	}
}

// Status returns the state for operators and metrics.
func (c *Controller) Status() Status {
	s := Status{
		Record: c.newRecord(), Percent: c.percent, Stored: c.stored,
		OldAnswers: c.evidence.oldTotal, NewAnswers: c.evidence.newTotal,
	}
	if !c.phase.Ended() {
		s.Score = max(c.recent.Score, c.all.Score)
	}
	return s
}
