package gate

import (
	"math/rand/v2"
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/limit"
)

// customerLimits holds the use of customers at this gate.
type customerLimits struct {
	mu        sync.Mutex
	customers *limit.CustomerLimiter
}

// enter counts a request against its customer. Each success is ended by leave.
// Errors are of kind CustomerLimit.
func (g *Gate) enter(msg peer.Submit) error {
	customer := g.Document().Customers[string(msg.Customer)]
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	return g.limits.customers.Admit(g.Clock.Now(), msg.Customer, g.bounds(customer), msg.Fingerprint, msg.PromptTokens+answerBound(msg))
}

// answerBound returns the most answer tokens of a request.
func answerBound(msg peer.Submit) int {
	if msg.Plain {
		return 0
	}
	return msg.MaxTokens
}

// bounds returns the part of a customer's limits that this gate gives out. The
// balancer spreads callers evenly, so that each live host gives out as much.
func (g *Gate) bounds(c config.Customer) limit.Bounds {
	hosts := max(len(g.Membership.Live()), 1)
	return limit.Bounds{MaxInFlight: c.MaxInFlight, TokensPerSecond: c.TokensPerSecond / float64(hosts)}
}

// leave ends a request of enter. A refusal is remembered for the lowest tier,
// so that content which comes again too early is refused here: for any other
// tier that could shed it while a lower one runs.
func (g *Gate) leave(msg peer.Submit, err error) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	g.limits.customers.Release(msg.Customer)
	kind := errkind.Of(err)
	refused := kind.Answer().Ran == errkind.RanNo && errkind.RetryAfterOf(err) > 0
	if err != nil && refused && msg.Tier == g.lowestTier() {
		g.limits.customers.RecordRefusal(g.Clock.Now(), msg.Customer, msg.Fingerprint, errkind.RetryAfterOf(err))
	}
}

func (g *Gate) lowestTier() int {
	lowest := 0
	for _, t := range g.Document().Tiers {
		lowest = max(lowest, t.Rank)
	}
	return lowest
}

// advise sets the wait after which a refused request may come again: what the
// queue expects, spread so that refused callers do not come back at once.
func advise(end peer.Finished) peer.Finished {
	if end.Kind.Answer().Ran == errkind.RanNo && end.Kind.Answer().RetryAfter > 0 {
		end.RetryAfter = limit.RetryAfter(end.Kind, end.RetryAfter, rand.Float64())
	}
	return end
}
