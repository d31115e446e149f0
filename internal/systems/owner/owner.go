// Package owner assigns each target to a dispatcher and each claim shard to a
// home, by rendezvous hashing over the live hosts. Hosts with different views
// of the live hosts may compute different owners; no guarantee depends on their
// agreement.
package owner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Of returns the owner of a target among the live hosts of its failure domain that
// reach targets, or among all such hosts if the domain has none. If no host reaches
// targets, all are taken to. It is empty if no host is live.
func Of(target tables.TargetID, domain tables.DomainID, live []tables.Host) tables.HostID {
	key := xxhash.Sum64String(string(target))
	inDomain := func(h tables.Host) bool { return h.Domain == domain }
	reaches := func(h tables.Host) bool { return !h.Reach.None }
	for _, eligible := range []func(tables.Host) bool{
		func(h tables.Host) bool { return inDomain(h) && reaches(h) },
		reaches,
		inDomain,
		func(tables.Host) bool { return true },
	} {
		if owner := highestScore(key, live, eligible); owner != "" {
			return owner
		}
	}
	return ""
}

// ShardHomes returns the home of every claim shard. Each host has at most an
// even share of the shards, rounded up, so that no host holds many more keys
// than the average. The result is empty if no host is live.
func ShardHomes(count int, live []tables.Host) []tables.HostID {
	if len(live) == 0 {
		return nil
	}
	share := (count + len(live) - 1) / len(live)
	load := make(map[tables.HostID]int, len(live))
	homes := make([]tables.HostID, count)
	for shard := range homes {
		key := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(shard)))
		homes[shard] = highestScore(key, live, func(h tables.Host) bool { return load[h.ID] < share })
		load[homes[shard]]++
	}
	return homes
}

func highestScore(key uint64, hosts []tables.Host, eligible func(tables.Host) bool) tables.HostID {
	var best tables.HostID
	var bestScore uint64
	for _, h := range hosts {
		if !eligible(h) {
			continue
		}
		score := score(key, h.ID)
		if best == "" || score > bestScore || (score == bestScore && h.ID < best) {
			best, bestScore = h.ID, score
		}
	}
	return best
}

func score(key uint64, host tables.HostID) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(string(host)))
	return xxhash.Sum64(pair[:])
}

// Ranked returns the hosts in order of preference for a role that one host has
// on behalf of all hosts: hosts with more cores first, then by rendezvous
// hashing of key. All hosts with the same list compute the same order.
func Ranked(key string, hosts []fleet.Host) []fleet.Host {
	sum := xxhash.Sum64String(key)
	scores := make(map[tables.HostID]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.ID] = score(sum, h.ID)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b fleet.Host) int {
		if a.Cores != b.Cores {
			return cmp.Compare(b.Cores, a.Cores)
		}
		if d := cmp.Compare(scores[b.ID], scores[a.ID]); d != 0 {
			return d
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
}

// SpreadDomains moves hosts of a ranking forward so that its first n hosts are in
// different failure domains. A host is moved only before hosts with the same
// number of cores; the order is otherwise kept.
func SpreadDomains(ranked []fleet.Host, n int) []fleet.Host {
	out := slices.Clone(ranked)
	used := make(map[tables.DomainID]bool, n)
	for i := range min(n, len(out)) {
		next := i + max(0, slices.IndexFunc(out[i:], func(h fleet.Host) bool {
			return h.Cores == out[i].Cores && !used[h.Domain]
		}))
		chosen := out[next]
		copy(out[i+1:next+1], out[i:next])
		out[i] = chosen
		used[chosen.Domain] = true
	}
	return out
}
