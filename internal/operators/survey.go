package operators

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Bounds of one question to many hosts.
const (
	// askTimeout bounds the answer of one host.
	askTimeout = 2 * time.Second
	// askedAtOnce bounds the hosts that are asked at the same time.
	askedAtOnce = 32
)

// askHosts sends one message to every host and returns the answers in the
// order of the hosts; nil stands for a host without an answer.
func askHosts[R any](ctx context.Context, c Caller, hosts []tables.Host, method string, params any) []*R {
	answers := make([]*R, len(hosts))
	var group errgroup.Group
	group.SetLimit(askedAtOnce)
	for i, host := range hosts {
		group.Go(func() error {
			answers[i] = askHost[R](ctx, c, host, method, params)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func askHost[R any](ctx context.Context, c Caller, host tables.Host, method string, params any) *R {
	if host.PeerAddress == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := new(R)
	if err := c.Call(ctx, host.PeerAddress, method, params, answer); err != nil {
		return nil
	}
	return answer
}

// survey asks every host for what it says of itself. A heartbeat that names
// no sender changes nothing at the host.
func (h *Handler) survey(ctx context.Context, hosts []tables.Host) []*peer.Heartbeat {
	return askHosts[peer.Heartbeat](ctx, h.Peers, hosts, peer.MethodHeartbeat, peer.Heartbeat{})
}
