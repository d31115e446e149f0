package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// lookupTimeout bounds the answer of one host to a look-up.
const lookupTimeout = 2 * time.Second

// found is what one host knows of a request.
type found struct {
	host    tables.Host
	outcome peer.Outcome
}

// lookup asks every live host for a request of a customer. Errors are of kind
// UnknownRequest.
func (g *Gate) lookup(ctx context.Context, id tables.RequestID, customer tables.CustomerID) (peer.Outcome, error) {
	best := g.ask(ctx, peer.Lookup{ID: id, Customer: customer})
	if best == nil {
		return peer.Outcome{}, errkind.New(errkind.UnknownRequest, fmt.Sprintf("request %q", id))
	}
	return best.outcome, nil
}

// ask sends a look-up to every live host at once and returns the answer that
// says most: a whole answer, else an outcome, else that the request is open.
// It returns nil when no host knows the request.
func (g *Gate) ask(ctx context.Context, q peer.Lookup) *found {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	hosts := g.Membership.Live()
	answers := make(chan *found, len(hosts))
	for _, h := range hosts {
		go func() { answers <- g.askOne(ctx, h, q) }()
	}
	var best *found
	for range hosts {
		f := <-answers
		if f != nil && (best == nil || weight(f.outcome) > weight(best.outcome)) {
			best = f
		}
		if best != nil && best.outcome.BodyKept {
			return best
		}
	}
	return best
}

func (g *Gate) askOne(ctx context.Context, h tables.Host, q peer.Lookup) *found {
	f := &found{host: h}
	if err := g.Peers.Call(ctx, h.PeerAddress, peer.MethodLookup, q, &f.outcome); err != nil || !f.outcome.Known {
		return nil
	}
	return f
}

// weight orders what hosts know. A refusal of one dispatcher comes last, since
// another one may have taken the request since.
func weight(o peer.Outcome) int {
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
