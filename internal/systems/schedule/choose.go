package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// urgentSlack is how long before its longStartBy a request becomes urgent.
	// Urgent requests are ordered by latest start instead of by fairness.
	urgentSlack = 1500 * time.Millisecond
	// maxCacheWait is how long after its arrival a request waits for a slot on
	// a target that has its prompt cached while another target has a free slot.
	maxCacheWait = 800 * time.Millisecond
	// A request is preferred if an eligible target has at least 1/cachedDivisor
	// of the prompt cached.
	cachedDivisor = 8
	// A request waits for a target only if that target has at least
	// minRecomputeTokens more tokens of the prompt cached than every eligible
	// target.
	minRecomputeTokens = 256
	// maxCacheAwareTargets is the largest number of targets in a group for which
	// cached prompts affect the order of requests. maxLookahead is the largest
	// number of queued requests per customer and group that are compared.
	maxCacheAwareTargets = 8
	maxLookahead         = 16
)

// candidate is a queued request that may start next.
type candidate struct {
	entry  *entry
	urgent bool
	cached bool
	usage  float64
}

// nextEntry returns the queued request of tier that starts next, or nil.
func (p *pass) nextEntry(tier int) *entry {
	var best candidate
	for _, g := range p.index.groups {
		if tier >= len(g.tiers) || g.tiers[tier].count == 0 || !g.hasEligible(p, tier) {
			continue
		}
		for _, q := range g.tiers[tier].customers {
			if q.head() == nil || q.alone && !p.findIdleOrReserve(g, q.head()) {
				continue
			}
			if c := p.firstCandidate(g, q); c.entry != nil && (best.entry == nil || c.before(best)) {
				best = c
			}
		}
	}
	return best.entry
}

// before reports whether c starts before o. Urgent requests come first, then
// those with at least 1/cachedDivisor of the prompt cached on an eligible target,
// then those of the customer with the least usage relative to its share. Urgent
// requests, and others that are equal so far, are ordered by latest start.
func (c candidate) before(o candidate) bool {
	if c.urgent != o.urgent {
		return c.urgent
	}
	if !c.urgent && c.cached != o.cached {
		return c.cached
	}
	if !c.urgent && c.usage != o.usage {
		return c.usage < o.usage
	}
	return c.entry.before(o.entry)
}

// firstCandidate returns the request of q that starts first. This is the head if
// q.alone is set, the policy does not prefer cached prompts or g has too many
// targets. Otherwise it is the first, in the order of candidate.before, of up to
// maxLookahead entries. The result has no entry if each of these waits for a target
// that has more of its prompt cached.
func (p *pass) firstCandidate(g *group, q *customerQueue) candidate {
	usage := p.index.customerUsage(q.head().req.Tier, q.customer)
	if q.alone || !p.state.Policy.PreferCached || len(g.targets) > maxCacheAwareTargets {
		return candidate{entry: q.head(), urgent: p.urgent(q.head()), usage: usage}
	}
	var next candidate
	for _, e := range q.entries[:min(q.Len(), maxLookahead)] {
		c := candidate{entry: e, urgent: p.urgent(e), usage: usage}
		cached := p.maxCached(g.eligible, e.req)
		if !c.urgent && p.now.Sub(e.req.Arrived) < maxCacheWait && p.maxCachedAtOpen(g, e.req) >= cached+minRecomputeTokens {
			continue
		}
		c.cached = cached*cachedDivisor >= e.req.PromptTokens
		if next.entry == nil || c.before(next) {
			next = c
		}
	}
	return next
}

// maxCachedAtOpen returns the length in tokens of the longest prompt prefix of r
// that an open target of g, other than a straggler, has probably cached. See
// concurrencyLimit for open targets.
func (p *pass) maxCachedAtOpen(g *group, r *tables.Request) int {
	longest := 0
	for _, ts := range g.targets {
		if concurrencyLimit(ts.target, p.now) > 0 && !ts.target.Straggler {
			longest = max(longest, p.state.Prefixes.Match(ts.id, r.PrefixHashes))
		}
	}
	return longest
}

// maxCached returns the length in tokens of the longest prompt prefix of r that
// any of the targets has probably cached.
func (p *pass) maxCached(targets []*targetState, r *tables.Request) int {
	longest := 0
	for _, ts := range targets {
		longest = max(longest, p.state.Prefixes.Match(ts.id, r.PrefixHashes))
	}
	return longest
}

// urgent reports whether e must start within urgentSlack to meet its deadlines
// with a long answer, and the fastest target could still meet its deadline.
func (p *pass) urgent(e *entry) bool {
	return e.longStartBy.Sub(p.now) < urgentSlack && p.now.Before(e.infeasibleAt)
}
