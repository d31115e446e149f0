package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// lookupTimeout limits a look-up at all hosts.
const lookupTimeout = 2 * time.Second

// lookupResult is the response of one host to a look-up.
type lookupResult struct {
	host    tables.Host
	outcome peer.Outcome
}

// lookup returns the outcome of a customer's request as known to the live hosts.
// Errors are of kind UnknownRequest.
func (g *Gate) lookup(ctx context.Context, id tables.RequestID, customer tables.CustomerID) (peer.Outcome, error) {
	best := g.lookupAtHosts(ctx, peer.Lookup{ID: id, Customer: customer})
	if best == nil {
		return peer.Outcome{}, errkind.New(errkind.UnknownRequest, fmt.Sprintf("request %q", id))
	}
	return best.outcome, nil
}

// lookupAtHosts sends a look-up to all live hosts concurrently and returns the
// response with the highest outcomeRank, or nil if no host knows the request. It
// returns early once a response has the complete answer.
func (g *Gate) lookupAtHosts(ctx context.Context, q peer.Lookup) *lookupResult {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	hosts := g.Membership.Live()
	answers := make(chan *lookupResult, len(hosts))
	for _, h := range hosts {
		go func() { answers <- g.lookupAtHost(ctx, h, q) }()
	}
	var best *lookupResult
	for range hosts {
		result := <-answers
		if result != nil && (best == nil || outcomeRank(result.outcome) > outcomeRank(best.outcome)) {
			best = result
		}
		if best != nil && best.outcome.BodyKept {
			return best
		}
	}
	return best
}

func (g *Gate) lookupAtHost(ctx context.Context, h tables.Host, q peer.Lookup) *lookupResult {
	result := &lookupResult{host: h}
	if err := g.Peers.Call(ctx, h.PeerAddress, peer.MethodLookup, q, &result.outcome); err != nil || !result.outcome.Known {
		return nil
	}
	return result
}

// outcomeRank orders the responses to a look-up by how much they say. A
// provisional refusal ranks lowest, because another dispatcher may have accepted
// the request since.
func outcomeRank(o peer.Outcome) int {
	switch {
	case o.BodyKept:
		return 3
	case o.Done && !o.Provisional:
		return 2
	case !o.Done:
		return 1
	}
	return 0
}
