package links

import (
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// MaxLinks is the number of reachable hosts to which connections are kept.
const MaxLinks = 3

// candidates returns the hosts to which connections are kept: the highest-ranked
// ones up to and including the first MaxLinks that are not known to be
// unreachable. Unreachable ones among them are still tried, since a host that
// returns takes its rank again.
func candidates(ranked []fleet.Host, unreachable func(tables.HostID) bool) []fleet.Host {
	reachable := 0
	for i, h := range ranked {
		if reachable == MaxLinks {
			return ranked[:i]
		}
		if !unreachable(h.ID) {
			reachable++
		}
	}
	return ranked
}
