package node

import (
	"github.com/bluebellseam/bluebellseam/internal/feed"
	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Roles of the processes of a host.
const (
	roleGate       = "gate"
	roleDispatcher = "dispatcher"
	roleController = "controller"
)

// connectFeed joins the process to the others of its host. It returns the log
// to follow the configuration with and the host list to read.
func (p *process) connectFeed(q part) (ports.Log, ports.HostList) {
	switch {
	case p.role == roleDispatcher:
		p.source = feed.NewSource(feed.SourceOptions{
			Host: p.settings.Host, Clock: p.Clock, Log: p.Log, List: p.List,
			Roles: []string{roleController, roleGate},
		})
		return p.source.Log(), p.source.List()
	case q.dispatcher != "":
		p.fed = feed.NewClient(feed.ClientOptions{
			Host: p.settings.Host, Role: p.role, Dispatcher: q.dispatcher, Caller: p.pool,
			Clock: p.Clock, Logger: p.Logger, Log: p.Log, List: p.List,
			Version: func() uint64 { return uint64(p.follower.Current().Version) },
		})
		return p.fed.Log(), p.fed.List()
	default:
		return p.Log, p.List
	}
}

// feedOfMembers returns the feed of the membership table, if there is one.
func (p *process) feedOfMembers() members.Feed {
	if p.fed == nil {
		return nil
	}
	return p.fed
}
