// Package route chooses, at a gate, the dispatcher and the targets that a
// request may run at. It works from summaries that may be stale, together with
// what the gate itself has sent since.
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

// View is what a gate knows of one target; the summary may be stale.
type View struct {
	Target  tables.TargetID
	Owner   tables.HostID
	Domain  tables.DomainID
	Speed   tables.Speed
	Summary tables.PoolSummary
	// Updated is the arrival of Summary; zero when none has come.
	Updated time.Time
	// Sent counts the requests that this gate sent since Updated.
	Sent int
	// Cached is the prompt part in tokens that the target probably holds.
	Cached int
	// Plain marks a target without tokens.
	Plain bool
}

// Request is what the choice depends on.
type Request struct {
	ID              tables.RequestID
	Tier            int
	PromptTokens    int
	PredictedTokens int
	// Prefix is the chain of block hashes of the prompt, longest last.
	Prefix []uint64
	// Due is the deadline of the whole answer.
	Due time.Time
	// Shared is the hash of the prompt part that other prompts have in common
	// with it, and SharedTokens its length; both are zero when none is known.
	Shared       uint64
	SharedTokens int
}

// Choice is one dispatcher and the targets it may use, best first.
type Choice struct {
	Owner   tables.HostID
	Targets []tables.TargetID
}

const (
	// stragglerPenalty is added to the expected finish time at a straggler.
	stragglerPenalty = time.Minute
	// preemptTime is the expected wait for a place that a lower tier gives up.
	preemptTime = time.Second
	// placeTime is the expected wait for a place behind requests of the same
	// or a higher tier when no wait was reported.
	placeTime = time.Second
	// spread is the share of the finish time by which choices of equal views
	// differ between requests, so that gates do not all choose alike.
	spread = 0.03
	// recomputeWeight weighs the time of computing again what another target
	// holds, for each place at the target.
	recomputeWeight = 12
	// coldBlocks is the prompt part, in blocks, that places an unknown prompt.
	coldBlocks = 32
	// plainTime is the expected time of a call of a plain service.
	plainTime = 100 * time.Millisecond
)

type scored struct {
	view *View
	cost time.Duration
}

// Pick orders the owners of the fitting targets, best first. The gate tries
// them in this order until one accepts, and refuses the request only when all
// have refused. Views hold only targets that fit and are open. An owner is as
// good as its best target.
func Pick(_ time.Time, r Request, views []View) []Choice {
	views = slices.Clone(views)
	credit(&r, views)
	ranked := make([]scored, len(views))
	for i := range views {
		v := &views[i]
		ranked[i] = scored{view: v, cost: jitter(r.ID, v.Target, finishTime(r, v))}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].cost != ranked[j].cost {
			return ranked[i].cost < ranked[j].cost
		}
		return ranked[i].view.Target < ranked[j].view.Target
	})
	return byOwner(ranked)
}

// credit sets the prompt part that each target probably holds: what its
// summary names, or else the part that all gates keep at the first target in a
// rendezvous of its hash, weighted by speed.
func credit(r *Request, views []View) {
	held := 0
	for i := range views {
		v := &views[i]
		v.Cached = max(v.Cached, prefix.Held(r.Prefix, v.Summary.Held))
		held = max(held, v.Cached)
	}
	if key, tokens := placement(r); key != 0 && held < tokens {
		first := rendezvous(key, views)
		first.Cached = max(first.Cached, tokens)
		held = tokens
	}
	r.SharedTokens = held
}

// placement returns what decides where a prompt that no target holds is kept:
// its shared part or, as long as none is known, its first blocks.
func placement(r *Request) (key uint64, tokens int) {
	if r.Shared != 0 {
		return r.Shared, r.SharedTokens
	}
	if n := min(len(r.Prefix), coldBlocks); n > 0 {
		return r.Prefix[n-1], n * prefix.BlockTokens
	}
	return 0, 0
}

func rendezvous(key uint64, views []View) *View {
	var best *View
	bestScore := 0.0
	for i := range views {
		v := &views[i]
		h := mix(xxhash.Sum64String(string(v.Target)) ^ key)
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if score := -weight(v) / math.Log(u); best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// weight is the prompt throughput of a target.
func weight(v *View) float64 {
	if v.Summary.Straggler {
		return 1
	}
	return max(v.Speed.PrefillTokensPerSecond, 1)
}

// mix spreads the bits of h (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func byOwner(ranked []scored) []Choice {
	var out []Choice
	at := make(map[tables.HostID]int)
	for _, s := range ranked {
		i, ok := at[s.view.Owner]
		if !ok {
			i = len(out)
			at[s.view.Owner] = i
			out = append(out, Choice{Owner: s.view.Owner})
		}
		out[i].Targets = append(out[i].Targets, s.view.Target)
	}
	return out
}

// finishTime is the expected time from now to the whole answer.
func finishTime(r Request, v *View) time.Duration {
	d := wait(r, v) + serviceTime(r, v)
	if v.Summary.Straggler {
		d += stragglerPenalty
	}
	return d
}

func serviceTime(r Request, v *View) time.Duration {
	batch := running(v) + 1
	if v.Plain {
		return plainTime * time.Duration(batch)
	}
	// A prompt holds up the whole batch, so its time counts once for each.
	d := time.Duration(batch)*v.Speed.Prefill(r.PromptTokens-v.Cached) + time.Duration(r.PredictedTokens)*v.Speed.Gap(batch)
	// What another target holds is not to be computed again.
	d += recomputeWeight * time.Duration(window(v)) * v.Speed.Prefill(r.SharedTokens-v.Cached)
	return time.Duration(float64(d) * max(v.Summary.Slowdown, 1))
}

// window is the number of places at the target, at least what it runs.
func window(v *View) int {
	return max(running(v)+1, v.Summary.Free+running(v)-v.Sent)
}

// running is the expected batch of the target when the request arrives.
func running(v *View) int {
	n := v.Sent
	for _, c := range v.Summary.RunningByTier {
		n += c
	}
	return n
}

// wait is the expected time in the queue: the reported one scaled to the
// requests that go first, which are those of the same or a higher tier.
func wait(r Request, v *View) time.Duration {
	ahead, all := queued(v.Summary.QueuedByTier, r.Tier)
	over := v.Sent - max(v.Summary.Free, 0)
	if ahead == 0 && over < 0 {
		return 0
	}
	ahead += max(over, 0) + 1
	all += max(over, 0) + 1
	if lowerRunning(v.Summary.RunningByTier, r.Tier) >= ahead {
		return preemptTime
	}
	each := placeTime
	if reported := time.Duration(v.Summary.WaitMillis) * time.Millisecond; reported > 0 {
		each = reported / time.Duration(all)
	}
	return time.Duration(ahead) * each
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

func lowerRunning(byTier []int, tier int) int {
	n := 0
	for i := tier + 1; i < len(byTier); i++ {
		n += byTier[i]
	}
	return n
}

// jitter lengthens d by up to spread, by a hash of request and target.
func jitter(id tables.RequestID, t tables.TargetID, d time.Duration) time.Duration {
	h := xxhash.Sum64String(string(id) + "@" + string(t))
	share := float64(h>>11) / float64(1<<53)
	return time.Duration(float64(d) * (1 + spread*share))
}
