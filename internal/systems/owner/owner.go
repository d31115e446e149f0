// Package owner assigns each target to one dispatcher and each claim shard to
// one home, by rendezvous hashing over the live hosts. Hosts with different
// views of the live hosts may disagree; nothing that must hold rests on it.
package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Of returns the owner of a target among the live hosts of its failure domain,
// or among all when its domain has none. It is empty when no host is live.
func Of(target tables.TargetID, domain tables.DomainID, live []tables.Host) tables.HostID {
	key := xxhash.Sum64String(string(target))
	near := highest(key, live, func(h tables.Host) bool { return h.Domain == domain })
	if near != "" {
		return near
	}
	return highest(key, live, func(tables.Host) bool { return true })
}

// Shard returns the home of a claim shard; empty when no host is live.
func Shard(shard int, live []tables.Host) tables.HostID {
	key := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(shard)))
	return highest(key, live, func(tables.Host) bool { return true })
}

func highest(key uint64, hosts []tables.Host, eligible func(tables.Host) bool) tables.HostID {
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
