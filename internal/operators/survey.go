package operators

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Limits of a call to many hosts.
const (
	// callTimeout is the timeout of the call to one host.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls is the maximum number of hosts that are called
	// concurrently.
	maxConcurrentCalls = 32
)

// callHosts calls a method on every host and returns the responses in the order of
// hosts. The response of a host that has no peer address or whose call failed is
// nil.
func callHosts[R any](ctx context.Context, c Caller, hosts []tables.Host, method string, params any) []*R {
	responses := make([]*R, len(hosts))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, host := range hosts {
		group.Go(func() error {
			responses[i] = callHost[R](ctx, c, host, method, params)
			return nil
		})
	}
	_ = group.Wait()
	return responses
}

func callHost[R any](ctx context.Context, c Caller, host tables.Host, method string, params any) *R {
	if host.PeerAddress == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response := new(R)
	if err := c.Call(ctx, host.PeerAddress, method, params, response); err != nil {
		return nil
	}
	return response
}

// fetchHeartbeats returns the current heartbeat of every host, or nil for a host that
// does not respond. It sends each host a heartbeat without a sender, which does not
// change the state of the receiver.
func (h *Handler) fetchHeartbeats(ctx context.Context, hosts []tables.Host) []*peer.Heartbeat {
	return callHosts[peer.Heartbeat](ctx, h.Peers, hosts, peer.MethodHeartbeat, peer.Heartbeat{})
}
