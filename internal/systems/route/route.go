// Package route selects, on a gate, the dispatchers and targets that a request
// may run on. It uses target summaries, which may be stale, and the number of
// requests that the gate has sent to each target since its summary arrived.
package route

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// View is a gate's view of one target. Its summary may be stale.
type View struct {
	Target  tables.TargetID
	Owner   tables.HostID
	Domain  tables.DomainID
	Speed   tables.Speed
	Summary tables.TargetSummary
	// Updated is when Summary arrived; zero before the first one.
	Updated time.Time
	// Sent counts the requests that this gate has sent to the target since
	// Updated.
	Sent int
	// Cached is the number of prompt tokens that the target has probably
	// cached.
	Cached int
	// Plain is set for targets that do not produce tokens.
	Plain bool
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID              tables.RequestID
	Tier            int
	PromptTokens    int
	PredictedTokens int
	// PrefixHashes is the chain of prefix block hashes of the prompt, shortest prefix
	// first.
	PrefixHashes []uint64
	// Due is the deadline of the complete answer.
	Due time.Time
	// SharedPrefix is the hash of the prompt prefix shared with other prompts, and
	// SharedTokens its length in tokens. Both are zero if no shared prefix is
	// known.
	SharedPrefix uint64
	SharedTokens int
}

// Choice is a dispatcher and the targets it may use, best first.
type Choice struct {
	Owner   tables.HostID
	Targets []tables.TargetID
}

const (
	// stragglerPenalty is added to the expected finish time on a straggler.
	stragglerPenalty = time.Minute
	// preemptionWait is the expected wait for a slot freed by preempting a
	// lower tier.
	preemptionWait = time.Second
	// queuedRequestTime is the expected wait per queued request of the same or
	// a higher tier if the owner reported no wait.
	queuedRequestTime = time.Second
	// jitterFraction is the largest fraction that jitter adds to an expected
	// finish time, so that gates with equal views do not all choose the same
	// target.
	jitterFraction = 0.03
	// recomputeWeight is the cost factor, per slot of the window, of
	// recomputing a prompt part that another target has cached.
	recomputeWeight = 12
	// unknownPromptBlocks is the number of leading blocks that determine the
	// placement of a prompt without a known shared prefix.
	unknownPromptBlocks = 32
	// plainServiceTime is the expected duration of one call to a plain service.
	plainServiceTime = 100 * time.Millisecond
)

type scoredView struct {
	view *View
	cost time.Duration
}

// Pick returns the owners of the targets in views, ordered by the expected finish
// time on their best target. The gate tries them in this order until one
// accepts, and refuses the request only if all refuse. Views must contain only
// open targets that can serve the request.
func Pick(_ time.Time, r Request, views []View) []Choice {
	views = slices.Clone(views)
	estimateCached(&r, views)
	ranked := make([]scoredView, len(views))
	for i := range views {
		v := &views[i]
		ranked[i] = scoredView{view: v, cost: jitter(r.ID, v.Target, finishTime(r, v))}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].cost != ranked[j].cost {
			return ranked[i].cost < ranked[j].cost
		}
		return ranked[i].view.Target < ranked[j].view.Target
	})
	return groupByOwner(ranked)
}

// estimateCached raises View.Cached of each target to the length of the prompt
// prefix that its summary lists as cached, and sets r.SharedTokens to the largest
// View.Cached. If no target has the prefix of placementKey cached, it treats that
// prefix as cached on the target selected by rendezvous hashing, weighted by
// prefill throughput, so that all gates place the prompt on the same target.
func estimateCached(r *Request, views []View) {
	longest := 0
	for i := range views {
		v := &views[i]
		v.Cached = max(v.Cached, prefix.MatchShared(r.PrefixHashes, v.Summary.CachedPrefixes))
		longest = max(longest, v.Cached)
	}
	if key, tokens := placementKey(r); key != 0 && longest < tokens {
		preferred := rendezvous(key, views)
		preferred.Cached = max(preferred.Cached, tokens)
		longest = tokens
	}
	r.SharedTokens = longest
}

// placementKey returns the hash and length of the prefix that determines where
// an uncached prompt is placed: its shared prefix, or its first blocks if none
// is known.
func placementKey(r *Request) (key uint64, tokens int) {
	if r.SharedPrefix != 0 {
		return r.SharedPrefix, r.SharedTokens
	}
	if n := min(len(r.PrefixHashes), unknownPromptBlocks); n > 0 {
		return r.PrefixHashes[n-1], n * prefix.BlockTokens
	}
	return 0, 0
}

func rendezvous(key uint64, views []View) *View {
	var best *View
	bestScore := 0.0
	for i := range views {
		v := &views[i]
		h := mixBits(xxhash.Sum64String(string(v.Target)) ^ key)
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if score := -weight(v) / math.Log(u); best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// weight returns the prefill throughput of a target in tokens per second, or 1
// for a straggler.
func weight(v *View) float64 {
	if v.Summary.Straggler {
		return 1
	}
	return max(v.Speed.PrefillTokensPerSecond, 1)
}

// mixBits mixes the bits of h with the finalizer of SplitMix64.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func groupByOwner(ranked []scoredView) []Choice {
	var out []Choice
	index := make(map[tables.HostID]int)
	for _, s := range ranked {
		i, ok := index[s.view.Owner]
		if !ok {
			i = len(out)
			index[s.view.Owner] = i
			out = append(out, Choice{Owner: s.view.Owner})
		}
		out[i].Targets = append(out[i].Targets, s.view.Target)
	}
	return out
}

// finishTime returns the expected time from now to the complete answer.
func finishTime(r Request, v *View) time.Duration {
	d := queueWait(r, v) + serviceTime(r, v)
	if v.Summary.Straggler {
		d += stragglerPenalty
	}
	return d
}

func serviceTime(r Request, v *View) time.Duration {
	batch := running(v) + 1
	if v.Plain {
		return plainServiceTime * time.Duration(batch)
	}
	// Prefill stalls the whole batch, so its time counts once per sequence.
	d := time.Duration(batch)*v.Speed.Prefill(r.PromptTokens-v.Cached) + time.Duration(r.PredictedTokens)*v.Speed.TokenGap(batch)
	// Penalize recomputing a prefix that another target has cached.
	d += recomputeWeight * time.Duration(window(v)) * v.Speed.Prefill(r.SharedTokens-v.Cached)
	return time.Duration(float64(d) * max(v.Summary.Slowdown, 1))
}

// window returns the number of slots of the target, at least one more than its
// running requests.
func window(v *View) int {
	return max(running(v)+1, v.Summary.Free+running(v)-v.Sent)
}

// running returns the expected batch size of the target before the request
// arrives.
func running(v *View) int {
	n := v.Sent
	for _, c := range v.Summary.RunningByTier {
		n += c
	}
	return n
}

// queueWait returns the expected queueing time: the part of the reported wait
// that is due to requests of the same or a higher tier, or preemptionWait if
// preempting lower tiers frees enough slots.
func queueWait(r Request, v *View) time.Duration {
	ahead, all := queued(v.Summary.QueuedByTier, r.Tier)
	excess := v.Sent - max(v.Summary.Free, 0)
	if ahead == 0 && excess < 0 {
		return 0
	}
	ahead += max(excess, 0) + 1
	all += max(excess, 0) + 1
	if runningBelow(v.Summary.RunningByTier, r.Tier) >= ahead {
		return preemptionWait
	}
	perRequest := queuedRequestTime
	if reported := time.Duration(v.Summary.WaitMillis) * time.Millisecond; reported > 0 {
		perRequest = reported / time.Duration(all)
	}
	return time.Duration(ahead) * perRequest
}

func queued(byTier []int, tier int) (ahead, all int) {
	for i, n := range byTier {
		all += n
		if i <= tier {
			ahead += n
		}
	}
	return ahead, all
}

func runningBelow(byTier []int, tier int) int {
	n := 0
	for i := tier + 1; i < len(byTier); i++ {
		n += byTier[i]
	}
	return n
}

// jitter lengthens d by up to jitterFraction, depending on a hash of request
// and target.
func jitter(id tables.RequestID, t tables.TargetID, d time.Duration) time.Duration {
	h := xxhash.Sum64String(string(id) + "@" + string(t))
	fraction := float64(h>>11) / float64(1<<53)
	return time.Duration(float64(d) * (1 + jitterFraction*fraction))
}
