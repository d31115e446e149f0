package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// defaultFirstByteSLO applies to routes without a first-byte SLO.
	defaultFirstByteSLO = time.Second
	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = 10 * time.Second
	// A request waits for a slot for at most deadlineWaitShare of the time left
	// until its deadline. Callers that receive nothing disconnect after
	// Route.CallerTimeout; the wait also ends at silenceWaitShare of that time.
	deadlineWaitShare = 0.5
	silenceWaitShare  = 0.75
	// maxStaleGrants bounds the attempts to acquire a slot. An attempt fails if
	// this host knows that the target is leaving or gone but the coordinator
	// does not know it yet.
	maxStaleGrants = 3
)

// slotNeed is what a request needs from its next slot.
type slotNeed struct {
	// service is the service that the target must belong to.
	service tables.ServiceID
	// retry is true if the request has already been sent to a target.
	retry bool
	// avoid lists targets that must not be granted.
	avoid []tables.TargetID
	// waitingSince is when the caller was last sent something, or when its request
	// arrived.
	waitingSince time.Time
	// resumed is true if the caller already has events of the stream.
	resumed bool
	// maxWait is the longest wait for the slot, if it is shorter than that of the request;
	// zero if it is not.
	maxWait time.Duration
	// version is the software version that began the stream; nil if this host did not
	// relay its first event.
	version *tables.SoftwareVersion
}

// need returns what the request needs from its next slot while no call is in progress.
func (ex *exchange) need() slotNeed {
	n := slotNeed{service: ex.service, retry: len(ex.tried) > 0, avoid: ex.avoided(), waitingSince: ex.request.Arrived, resumed: ex.takesUp()}
	if ex.relay.started {
		n.continueStream(ex.relay.latestAt, ex.relay.version)
	}
	if ex.relay.emptyEnd.holds() {
		n.maxWait = emptyEndWait
	}
	return n
}

// continueStream makes n the need of a stream of which a target of the version has sent
// the latest event at a time.
func (n *slotNeed) continueStream(latestAt time.Time, version tables.SoftwareVersion) {
	n.waitingSince, n.maxWait, n.resumed, n.version = latestAt, 0, true, &version
}

// mayUse reports whether a slot at a target is of use. The coordinator may know another
// start of the target than this host, for another service, or be of a build that knows no
// versions.
func (n *slotNeed) mayUse(g *pool.Grant, t fleet.Target) bool {
	granted := g.Version == nil || *g.Version == t.Version
	needed := n.version == nil || *n.version == t.Version
	return t.Service == n.service && granted && needed
}

// acquireSlot acquires a slot, unless the process is likely to end before the request could be
// completed there.
func (ex *exchange) acquireSlot(ctx context.Context, need slotNeed) (*heldSlot, error) {
	if err := ex.checkBegin(); err != nil {
		return nil, err
	}
	askedAt := ex.server.Clock.Now()
	waiting, done := ex.whileServable(ctx)
	defer done()
	slot, err := ex.acquireKnown(waiting, need)
	switch {
	case err != nil && endedByShutdown(ctx, waiting):
		return nil, ex.shuttingDownError()
	case err != nil:
		return nil, err
	}
	if err := ex.checkBegin(); err != nil {
		slot.release()
		return nil, err
	}
	slot.waited = ex.server.Clock.Now().Sub(askedAt)
	return slot, nil
}

// acquireKnown acquires a slot at a target that this host knows, that is not leaving and that does
// not want to be left alone.
func (ex *exchange) acquireKnown(ctx context.Context, need slotNeed) (*heldSlot, error) {
	request := ex.slotRequest(need)
	avoided := need.avoid
	for range maxStaleGrants {
		request.Again = ex.asked.Swap(true)
		quiet, allFor := ex.server.quietOf(ex.service)
		if allFor > 0 {
			return nil, errAllQuiet(ex.service, allFor)
		}
		request.Avoid = slices.Concat(avoided, quiet)
		grant, err := ex.server.Slots.Acquire(ctx, request)
		if err != nil {
			return nil, err
		}
		target, known := ex.server.Directory.Target(grant.Target)
		if known && !target.Leaving && need.mayUse(grant, target) && ex.server.quiet.remaining(ex.server.Clock.Now(), target) <= 0 {
			return &heldSlot{grant: grant, target: target}, nil
		}
		grant.Release(allocation.Unused, 0)
		avoided = append(avoided, grant.Target)
	}
	return nil, errkind.New(errkind.NoTarget, fmt.Sprintf("places at %v, which are leaving, want no request or have started again", avoided))
}

func (ex *exchange) slotRequest(need slotNeed) pool.SlotRequest {
	now := ex.server.Clock.Now()
	r := pool.SlotRequest{
		Request:         ex.request.ID,
		Service:         ex.service,
		Route:           ex.route.Name,
		Tier:            ex.tier(),
		Urgency:         ex.route.Tier,
		PromptTokens:    ex.request.PromptTokens,
		HasTokenCounts:  ex.request.HasTokenCounts,
		MaxOutputTokens: ex.request.MaxOutputTokens,
		OutputHint:      ex.request.OutputHint,
		FirstByteBudget: ex.firstByteSLO() - now.Sub(ex.request.Arrived),
		EventGapSLO:     ex.route.EventGapSLO,
		Fingerprint:     ex.request.Fingerprint,
		Retry:           need.retry,
		Resumable:       ex.mayBeTakenUp(),
		Resumed:         need.resumed,
		FirstAttempt:    ex.request.FirstAttempt,
		Version:         need.version,
	}
	remaining := defaultTimeout
	if !ex.deadline.IsZero() {
		remaining = ex.deadline.Sub(now)
	}
	r.MaxWait = maxWait(remaining, now.Sub(need.waitingSince), ex.route.CallerTimeout)
	if need.maxWait > 0 {
		r.MaxWait = min(r.MaxWait, need.maxWait)
	}
	if ex.customer != nil {
		r.Customer = ex.customer.Name
		r.QuotaTokens = ex.quotaTokens()
	}
	return r
}

// maxWait returns how long a request may wait for a slot. remaining is the time until
// its deadline, silence the time since its caller was last sent something. callerTimeout
// is zero if callers wait until their deadline.
func maxWait(remaining, silence, callerTimeout time.Duration) time.Duration {
	wait := time.Duration(deadlineWaitShare * float64(remaining))
	if callerTimeout > 0 {
		wait = min(wait, time.Duration(silenceWaitShare*float64(callerTimeout))-silence)
	}
	return max(wait, 0)
}

// mayBeTakenUp reports whether the caller may take up the answer at another target.
func (ex *exchange) mayBeTakenUp() bool { return ex.route.Kind == fleet.Stream && ex.route.Resumable }

func (ex *exchange) firstByteSLO() time.Duration {
	if ex.route.FirstByteSLO > 0 {
		return ex.route.FirstByteSLO
	}
	return defaultFirstByteSLO
}

func (ex *exchange) tier() int {
	if ex.customer != nil && ex.customer.HasTier {
		return ex.customer.Tier
	}
	return ex.route.Tier
}

// quotaTokens returns the number of tokens charged to the customer's quota.
func (ex *exchange) quotaTokens() int {
	if ex.request.HasTokenCounts {
		return ex.request.PromptTokens + ex.request.MaxOutputTokens
	}
	return ex.customer.Quota.DefaultTokens
}
