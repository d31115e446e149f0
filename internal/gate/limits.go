package gate

import (
	"math/rand/v2"
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/limit"
)

// customerLimits tracks the customers' use of their limits at this gate.
type customerLimits struct {
	mu        sync.Mutex
	customers *limit.CustomerLimiter
}

// admitCustomer counts a request against the limits of its customer. After a
// success, releaseCustomer must be called. Errors are of kind CustomerLimit.
func (g *Gate) admitCustomer(msg peer.Submit) error {
	customer := g.Document().Customers[string(msg.Customer)]
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	return g.limits.customers.Admit(g.Clock.Now(), msg.Customer, g.localBounds(customer), msg.Fingerprint, msg.PromptTokens+maxAnswerTokens(msg))
}

// maxAnswerTokens returns the maximum number of answer tokens of a request.
func maxAnswerTokens(msg peer.Submit) int {
	if msg.Plain {
		return 0
	}
	return msg.MaxTokens
}

// localBounds returns the limits that this gate enforces for a customer: the full
// limit of requests in flight, and the token rate divided by the number of live
// hosts. The division relies on a load balancer that spreads callers evenly.
func (g *Gate) localBounds(c config.Customer) limit.Bounds {
	hosts := max(len(g.Membership.Live()), 1)
	return limit.Bounds{MaxInFlight: c.MaxInFlight, TokensPerSecond: c.TokensPerSecond / float64(hosts)}
}

// releaseCustomer ends a request that admitCustomer admitted. It records a
// refusal with a Retry-After, so that a retry before that time is refused at this
// gate. This applies only to the lowest tier: for a higher tier, the gate could
// refuse a retry while a request of a lower tier runs.
func (g *Gate) releaseCustomer(msg peer.Submit, err error) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	g.limits.customers.Release(msg.Customer)
	kind := errkind.Of(err)
	refused := kind.Answer().Ran == errkind.RanNo && errkind.RetryAfterOf(err) > 0
	if err != nil && refused && msg.Tier == g.lowestTier() {
		g.limits.customers.RecordRefusal(g.Clock.Now(), msg.Customer, msg.Fingerprint, errkind.RetryAfterOf(err))
	}
}

// lowestTier returns the rank of the lowest configured tier, which is the largest
// rank.
func (g *Gate) lowestTier() int {
	lowest := 0
	for _, t := range g.Document().Tiers {
		lowest = max(lowest, t.Rank)
	}
	return lowest
}

// withRetryAfter sets the RetryAfter of a refusal from the expected wait in the
// queue, with jitter so that refused callers do not retry at the same time.
func withRetryAfter(outcome peer.Finished) peer.Finished {
	if outcome.Kind.Answer().Ran == errkind.RanNo && outcome.Kind.Answer().RetryAfter > 0 {
		outcome.RetryAfter = limit.RetryAfter(outcome.Kind, outcome.RetryAfter, rand.Float64())
	}
	return outcome
}
