package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
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

// acquireSlot acquires a slot at a target that this host knows, that is not leaving,
// that does not want to be left alone and that is not in avoid.
func (ex *exchange) acquireSlot(ctx context.Context, retry bool, avoid []tables.TargetID) (*heldSlot, error) {
	request := ex.slotRequest(retry)
	avoided := slices.Clone(avoid)
	for range maxStaleGrants {
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
		if known && !target.Leaving && ex.server.quiet.remaining(ex.server.Clock.Now(), target) <= 0 {
			return &heldSlot{grant, target}, nil
		}
		grant.Release(allocation.Unused, 0)
		avoided = append(avoided, grant.Target)
	}
	return nil, errkind.New(errkind.NoTarget, fmt.Sprintf("places at %v, which are leaving or want no request", avoided))
}

func (ex *exchange) slotRequest(retry bool) pool.SlotRequest {
	now := ex.server.Clock.Now()
	r := pool.SlotRequest{
		Request:         ex.request.ID,
		Service:         ex.service,
		Tier:            ex.tier(),
		Urgency:         ex.route.Tier,
		PromptTokens:    ex.request.PromptTokens,
		FirstByteBudget: ex.firstByteSLO() - now.Sub(ex.request.Arrived),
		EventGapSLO:     ex.route.EventGapSLO,
		Fingerprint:     ex.request.Fingerprint,
		Retry:           retry,
	}
	remaining := defaultTimeout
	if !ex.deadline.IsZero() {
		remaining = ex.deadline.Sub(now)
	}
	r.MaxWait = ex.maxWait(remaining)
	if ex.customer != nil {
		r.Customer = ex.customer.Name
		r.QuotaTokens = ex.quotaTokens()
	}
	return r
}

// maxWait returns how long the request may wait for a slot, given the time
// remaining until its deadline.
func (ex *exchange) maxWait(remaining time.Duration) time.Duration {
	wait := time.Duration(deadlineWaitShare * float64(remaining))
	if ex.route.CallerTimeout > 0 {
		waited := ex.server.Clock.Now().Sub(ex.request.Arrived)
		wait = min(wait, time.Duration(silenceWaitShare*float64(ex.route.CallerTimeout))-waited)
	}
	return max(wait, 0)
}

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
