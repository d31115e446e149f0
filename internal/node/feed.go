package node

import (
	"github.com/bluebellseam/bluebellseam/internal/feed"
	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Roles of the processes of a host, as sent to peers.
const (
	roleGate       = "gate"
	roleDispatcher = "dispatcher"
	roleController = "controller"
)

// connectFeed creates the source of the feed in a dispatcher, and its client in a
// process with the address of a dispatcher. It returns the log and the host list
// through which the process must read the configuration and the listings.
func (p *process) connectFeed(opts roleOptions) (ports.Log, ports.HostList) {
	switch {
	case p.role == roleDispatcher:
		p.source = feed.NewSource(feed.SourceOptions{
			Host: p.settings.Host, Clock: p.Clock, Log: p.Log, List: p.List,
			Roles: []string{roleController, roleGate},
		})
		return p.source.Log(), p.source.List()
	case opts.dispatcherAddress != "":
		p.feedClient = feed.NewClient(feed.ClientOptions{
			Host: p.settings.Host, Role: p.role, Dispatcher: opts.dispatcherAddress, Caller: p.pool,
			Clock: p.Clock, Logger: p.Logger, Log: p.Log, List: p.List,
			ConfigVersion: func() uint64 { return uint64(p.follower.Current().Version) },
		})
		return p.feedClient.Log(), p.feedClient.List()
	default:
		return p.Log, p.List
	}
}

// memberFeed returns the feed for the membership table, or nil if this process has
// no feed client.
func (p *process) memberFeed() members.Feed {
	if p.feedClient == nil {
		return nil
	}
	return p.feedClient
}
