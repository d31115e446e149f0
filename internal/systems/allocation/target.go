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

const (
	// baseEjection is how long a target is ejected for a high failureShare or
	// after its first broken connection. The time doubles with each further
	// consecutive broken connection, up to maxEjection.
	baseEjection = 300 * time.Millisecond
	maxEjection  = 4 * time.Second
	// replacedEjection is how long a target is ejected after another target
	// took over its address. By the end of that time the list of targets has been
	// updated: it no longer contains the ejected target, or has its new address.
	replacedEjection = 10 * time.Second
	// A target is also ejected if its failureShare exceeds ejectionFailureShare and
	// it has sent at least ejectionMinResponses responses since the last such ejection.
	ejectionFailureShare = 0.5
	ejectionMinResponses = 6
	// failureWeight is the weight of a new response in failureShare, an
	// exponentially weighted moving average.
	failureWeight = 0.15
	// regrantDelay is the time from the end of a request at a target until the
	// next request that is granted the same slot arrives there.
	regrantDelay = 10 * time.Millisecond
	// spareSlotsDivisor limits the requests granted beyond the slots of a target to
	// one for every spareSlotsDivisor slots.
	spareSlotsDivisor = 3
	// initialSlots bounds the concurrent requests at a target whose slowdown is
	// unknown.
	initialSlots = 2
)

// target is the state of one target.
type target struct {
	fleet.Target
	slowdown latency.Slowdown
	// inUse is the number of slots in use.
	inUse int
	// prefilling holds the grants whose first byte has not arrived.
	prefilling map[ID]*grant
	// prefillUntil is when the target is expected to have processed all prompts
	// sent to it.
	prefillUntil time.Time
	losses       losses
	// senders tells which hosts' losses count.
	senders *reach.Senders
	// ejectedUntil is the end of an ejection for another reason than losses.
	ejectedUntil time.Time
	// failureShare is the moving average of the failures among the responses.
	failureShare float64
	// responses counts the responses since the last ejection for failures.
	responses int
	// limit is what the target says that it takes.
	limit rateLimit
	// brittle is what the target says of turning requests away.
	brittle brittleness
	// memory is the use of the target's memory, if that is limited.
	memory targetMemory
	// removed targets are kept until their slots are released.
	removed bool
}

// grant is a slot in use.
type grant struct {
	request   *SlotRequest
	target    *target
	grantedAt time.Time
	// baseline is the expected time to the first byte at a target with slowdown 1;
	// zero if another coordinator made the grant.
	baseline time.Duration
	// alone is true if no other prompt was being processed at the time of the
	// grant.
	alone bool
	// queued is true if all slots of the target were in use at the time of the grant, so that
	// the request waits there for a time that is known only on average.
	queued bool
	// sender is the host that sent the request for the one that holds the slot; empty if
	// that has sent it.
	sender tables.HostID
	// through is the host that was named to send the request; empty if none was.
	through tables.HostID
	// charge is the slot time that the customer was charged.
	charge fairshare.Charge
	// demand is what the request holds of the memory of the target.
	demand demand
}

// sentBy returns the host that sent the request to the target.
func (g *grant) sentBy() tables.HostID {
	if g.sender != "" {
		return g.sender
	}
	return g.request.Host
}

// failure returns what a failed send of the grant says of paths and targets.
func (g *grant) failure(now time.Time, outcome Outcome) reach.Failure {
	return reach.Failure{
		Host: g.sentBy(), Target: g.target.Target, BegunAt: g.grantedAt, At: now,
		Unsent: outcome == Unsent, Agreed: g.sentBy() != g.request.Host,
	}
}

func newTarget(t fleet.Target, senders *reach.Senders) *target {
	return &target{Target: t, senders: senders, prefilling: make(map[ID]*grant)}
}

// capacity returns the number of concurrent requests that the target may have.
// meanDuration is the mean time from a grant to its release. The capacity
// slightly exceeds the slots, and the extra requests wait at the target.
// Otherwise a released slot would stay empty until the coordinator has received
// the release and the next request has arrived. While the slowdown of the
// target is unknown, the capacity is at most initialSlots.
func (t *target) capacity(meanDuration time.Duration) int {
	if !t.slowdown.Known() {
		return min(initialSlots, t.Slots)
	}
	if meanDuration <= 0 {
		return t.Slots
	}
	spare := math.Ceil(float64(t.Slots) * float64(regrantDelay) / float64(meanDuration))
	return t.Slots + min(int(spare), t.Slots/spareSlotsDivisor)
}

// usable reports whether new requests may be sent to the target.
func (t *target) usable(now time.Time) bool {
	return !t.removed && !t.Leaving && !t.ejected(now)
}

// ejected reports whether no request is granted the target for a time.
func (t *target) ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil) || len(t.losses.list) > 0 && now.Before(t.losses.ejectedUntil(now, t.senders))
}

// backlog returns the time until the target has processed all prompts sent to
// it.
func (t *target) backlog(now time.Time) time.Duration {
	return max(t.prefillUntil.Sub(now), 0)
}

func (t *target) admit(now time.Time, g *grant, prefill time.Duration) {
	t.inUse++
	t.limit.take(now)
	t.brittle.settling++
	g.alone = len(t.prefilling) == 0
	t.prefilling[g.request.ID] = g
	t.prefillUntil = now.Add(t.backlog(now) + prefill)
}

// recordFirstByte removes the prompt of g from the backlog. The backlog is then
// computed again from the prompts that remain, on the assumption that none of
// them has been started: a target processes prompts in order.
func (t *target) recordFirstByte(now time.Time, g *grant, model *latency.Model) {
	delete(t.prefilling, g.request.ID)
	remaining := time.Duration(0)
	for _, other := range t.prefilling {
		remaining += t.slowdown.Scale(model.Prefill(other.request.PromptTokens))
	}
	t.prefillUntil = now.Add(remaining)
}

func (t *target) release(now time.Time, g *grant, outcome Outcome, model *latency.Model) {
	t.inUse--
	if _, prefilling := t.prefilling[g.request.ID]; prefilling {
		t.recordFirstByte(now, g, model)
	}
	switch outcome {
	case ConnectionLost, Unsent:
		if outcome == Unsent {
			t.limit.giveBack()
		}
		t.recordLoss(now, g.failure(now, outcome))
	case Silent:
		t.recordSilence(now, g.failure(now, outcome))
	case TargetReplaced:
		t.ejectedUntil = now.Add(replacedEjection)
	case Succeeded:
		t.recordResponse(now, 0)
	case Failed, NotRun:
		t.recordResponse(now, 1)
	case Unused:
		t.limit.giveBack()
	case Abandoned:
	}
}

// recordLoss ejects the target, unless the path of the sending host is the likelier cause.
func (t *target) recordLoss(now time.Time, f reach.Failure) {
	t.senders.Failed(now, f)
	t.losses.add(now, f)
}

// recordSilence ejects the target as after a broken connection, once for all its
// streams: one pause of a target makes several of them leave.
func (t *target) recordSilence(now time.Time, f reach.Failure) {
	if t.ejected(now) {
		t.senders.Failed(now, f)
		return
	}
	t.recordLoss(now, f)
}

func (t *target) recordResponse(now time.Time, failure float64) {
	t.losses.recordResponse()
	t.responses++
	t.failureShare += failureWeight * (failure - t.failureShare)
	if t.failureShare > ejectionFailureShare && t.responses >= ejectionMinResponses {
		t.ejectedUntil = now.Add(baseEjection)
		t.responses = 0
		t.failureShare = ejectionFailureShare / 2
	}
}
