package rollout

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// budgetUse is the fraction of the exposure bound that may be used while observing. The
	// rest covers what other coordinators and lost reports leave uncounted.
	budgetUse = 0.6
	// shiftBudgetUse is the fraction of the exposure bound that may be used in the steps of
	// the shift before all requests are shifted.
	shiftBudgetUse = 0.95
	// rateUse is the fraction of the exposure bound at which the canary rate aims.
	rateUse = 0.5
	// maxCanaryRate bounds the share of new requests that are canaries, for services with so
	// little traffic that the slack alone would let all be.
	maxCanaryRate = 0.25
	// maxCredit bounds the canaries that are made up for after no canary target was free.
	maxCredit = 2
	// takeoverPause is how long a new coordinator exposes nothing. Hosts report once a second.
	takeoverPause = time.Second
	// slackShare is the share of the duration in which the slack falls due.
	slackShare = 0.6
	allPercent = 100
)

// Set is a set of targets of the service.
type Set uint8

// Sets of targets.
const (
	// NoTarget contains no target: the request waits.
	NoTarget Set = iota
	// AnyTarget contains all targets.
	AnyTarget
	// OldTargets contains the targets of other versions than the new one, but not of
	// versions that an earlier order has ended.
	OldTargets
	// NewTargets contains the targets of the new version.
	NewTargets
	// CanaryTargets contains the new targets that get requests at present, and
	// SpareCanaries those of them that have got fewer than the others.
	CanaryTargets
	SpareCanaries
	// CurrentTargets contains the targets of versions that were not old at the time of the
	// order.
	CurrentTargets
	// SetCount is the number of sets.
	SetCount
)

// Preferences, so that Sets allocates nothing.
var (
	waits       = []Set{NoTarget}
	anyVersion  = []Set{AnyTarget}
	onlyOld     = []Set{OldTargets}
	onlyNew     = []Set{NewTargets}
	canaryFirst = []Set{SpareCanaries, CanaryTargets, OldTargets}
	onlyCurrent = []Set{CurrentTargets}
)

// Question is what a request says about the targets that it may get.
type Question struct {
	Route string
	// Bound is true if the request must be served at Version, which began its stream.
	Bound   bool
	Version tables.SoftwareVersion
}

// exposure paces the requests that the new version gets. Each grant adds the share of the
// new version to the credit of its route, and each grant at the new version takes one, so
// that each route gets its part without chance.
type exposure struct {
	credit map[string]float64
	// goal is the sum of what was added to the credits, by route; granted counts the grants.
	goal    map[string]float64
	granted map[string]int
	// lastGrant is when the last request was granted a target.
	lastGrant time.Time
}

func newExposure() exposure {
	return exposure{credit: make(map[string]float64), goal: make(map[string]float64), granted: make(map[string]int)}
}

func (e *exposure) add(route string, rate float64) {
	e.credit[route] = min(e.credit[route]+rate, maxCredit)
	e.goal[route] += rate
	e.granted[route]++
}

// weight returns the factor of the canary rate on a route. Busy routes get the same number
// of canaries, so that a fault on one with little traffic shows.
func (e *exposure) weight(route string) float64 {
	total, busy := 0, 0
	for _, n := range e.granted {
		total += n
	}
	if total == 0 || !e.busy(route, total) {
		return 1
	}
	shares := 0.0
	for other, n := range e.granted {
		if e.busy(other, total) {
			busy++
			shares += float64(n) / float64(total)
		}
	}
	return shares / float64(busy) / (float64(e.granted[route]) / float64(total))
}

// busy reports whether a route carries busyRouteShare of the granted requests.
func (e *exposure) busy(route string, total int) bool {
	return float64(e.granted[route]) >= busyRouteShare*float64(total)
}

// Sets returns the sets of targets that a request may get, the preferred first. It returns
// none if the request must be refused.
func (c *Controller) Sets(now time.Time, q Question) []Set {
	if q.Bound {
		return c.setsOfBound(now, q.Version)
	}
	switch {
	case c.phase == Completed:
		return onlyCurrent
	case c.phase == RolledBack || c.restricted:
		return onlyOld
	case c.percent == allPercent, c.hasNoOld(now):
		return onlyNew
	case c.mayExpose(now) && c.exposure.credit[q.Route] >= 1:
		return canaryFirst
	default:
		return onlyOld
	}
}

// setsOfBound returns the sets for a request that must be served at a version.
func (c *Controller) setsOfBound(now time.Time, version tables.SoftwareVersion) []Set {
	switch {
	case version == c.order.To && c.phase == RolledBack:
		return nil
	case version == c.order.To && c.phase == Completed:
		return onlyNew
	case version == c.order.To && (c.restricted || !c.exposing(now)):
		return waits
	case version == c.order.To:
		return onlyNew
	case c.excluded[version], c.phase == Completed && c.old[version]:
		return nil
	default:
		return anyVersion
	}
}

// Contains reports whether a target is in a set.
func (c *Controller) Contains(set Set, id tables.TargetID, version tables.SoftwareVersion) bool {
	switch set {
	case AnyTarget:
		return true
	case OldTargets:
		return version != c.order.To && !c.excluded[version]
	case NewTargets:
		return version == c.order.To
	case CanaryTargets:
		return version == c.order.To && c.targets.inSubset(id, c.subsetShare())
	case SpareCanaries:
		return c.Contains(CanaryTargets, id, version) && float64(c.activity(id).grants) <= c.meanGrants
	case CurrentTargets:
		return !c.old[version] && !c.excluded[version]
	default:
		return false
	}
}

// subsetShare returns the share of the new targets that get requests.
func (c *Controller) subsetShare() float64 {
	return max(rateUse*c.bounds.ExposureShare, float64(c.percent)/allPercent)
}

// exposing reports whether the new version may get requests at all, although the phase
// isn't final.
func (c *Controller) exposing(now time.Time) bool {
	return (c.phase == Shifting || c.stored) && !now.Before(c.pausedUntil)
}

// mayExpose reports whether another new request may get the new version while old ones
// serve the rest.
func (c *Controller) mayExpose(now time.Time) bool {
	if !c.exposing(now) {
		return false
	}
	use := budgetUse
	if c.percent > 0 {
		use = shiftBudgetUse
	}
	u := c.Usage()
	// The requests are those of the served part of the fleet, of which the slack is a part.
	budget := use * (c.bounds.ExposureShare*float64(u.Requests) + c.bounds.ExposureSlack*c.share)
	return float64(u.Exposed+1) <= budget
}

// rate returns the share of new requests of a route that the new version should get. elapsed is the
// time since the last grant, in which a part of the slack falls due.
func (c *Controller) rate(now time.Time, route string, elapsed time.Duration) float64 {
	switch {
	case !c.mayExpose(now):
		return 0
	case c.percent > 0:
		return float64(c.percent) / allPercent
	}
	slackTime := slackShare * c.order.Duration.Seconds()
	slack := budgetUse * c.bounds.ExposureSlack * c.share * min(elapsed.Seconds()/slackTime, 1)
	return min((rateUse*c.bounds.ExposureShare+slack)*c.exposure.weight(route), maxCanaryRate)
}

// RecordGrant records that a request was granted a target of a version.
func (c *Controller) RecordGrant(now time.Time, q Question, target tables.TargetID, version tables.SoftwareVersion) {
	if c.phase.Ended() {
		return
	}
	c.used.Requests++
	if version == c.order.To {
		c.used.Exposed++
	}
	c.activity(target).grantedAt = now
	if version == c.order.To {
		c.activity(target).grants++
		c.updateMeanGrants()
	}
	if q.Bound {
		return
	}
	var elapsed time.Duration
	if !c.exposure.lastGrant.IsZero() {
		elapsed = now.Sub(c.exposure.lastGrant)
	}
	c.exposure.lastGrant = now
	c.exposure.add(q.Route, c.rate(now, q.Route, elapsed))
	if version == c.order.To {
		c.exposure.credit[q.Route]--
	}
}

// updateMeanGrants updates the mean number of grants of the new targets that get requests.
// The scheduler would otherwise grant the fastest one nearly always, and the test leaves out
// the target that contributes most.
func (c *Controller) updateMeanGrants() {
	sum, n := 0, 0
	for _, id := range c.targets.ranked {
		if c.targets.inSubset(id, c.subsetShare()) {
			sum += c.activity(id).grants
			n++
		}
	}
	c.meanGrants = float64(sum) / float64(max(n, 1))
}

// RecordUnsent records that a granted request was never sent to its target.
func (c *Controller) RecordUnsent(version tables.SoftwareVersion) {
	if c.phase.Ended() {
		return
	}
	c.used.Requests = max(c.used.Requests-1, 0)
	if version == c.order.To {
		c.used.Exposed = max(c.used.Exposed-1, 0)
	}
}
