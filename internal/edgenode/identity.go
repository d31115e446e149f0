package edgenode

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/identity"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	// identityWriters is the number of highest-ranked hosts that write the fleet's identity
	// again if a restored store has lost it.
	identityWriters = 3
	// refusedLogInterval is the shortest time between two log lines of refused peers of one way
	// and reason.
	refusedLogInterval = 10 * time.Second
)

// The ways on which a peer is refused.
const (
	wayGreeting = "greeting"
	wayRelay    = "relay"
	wayAddress  = "address"
)

// refusedPeers decides when a refused peer is logged.
type refusedPeers struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// due reports whether a line is due, and counts it as logged.
func (r *refusedPeers) due(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, logged := r.loggedAt[key]; logged && now.Sub(at) < refusedLogInterval {
		return false
	}
	if r.loggedAt == nil {
		r.loggedAt = make(map[string]time.Time)
	}
	r.loggedAt[key] = now
	return true
}

// connectIdentity makes all messages between hosts carry the fleet's identity.
func (p *Process) connectIdentity(store identity.Store) {
	p.identity = &identity.Keeper{
		Store: store, StoreAddress: p.settings.Platform.Address, FirstStart: p.settings.Bootstrap,
		Incarnation: func() int64 { return p.state.Mark(watch.Hosts).Incarnation },
		Renews:      func() bool { return p.links.AmongFirst(p.self.ID, identityWriters) },
		OnReplaced:  p.dropState,
		Clock:       p.clock, Logger: p.logger,
	}
	p.mux.Greeting = p.greeting
	p.mux.Admit = p.admit
	p.links.OnOtherHost = func(err *links.OtherHostError) {
		p.peerRefused(wayAddress, identity.OtherHost, zap.String("host", string(err.Found)), zap.Error(err))
	}
}

// dropState forgets what this host has learned of another fleet, which used a store at the same
// address. The store is listed anew.
func (p *Process) dropState() {
	event.StateDropped.Log(p.logger)
	p.watcher.Reset()
	p.poison.Reset()
	p.origins.Reset()
}

func claimOf(h peer.Hello) identity.Claim {
	return identity.Claim{Fleet: identity.ID(h.Fleet), Store: h.Store, Incarnation: h.Incarnation}
}

func (p *Process) greeting() peer.Hello {
	claim := p.identity.Claim()
	return peer.Hello{Host: p.self.ID, Role: "edge", Fleet: string(claim.Fleet), Store: claim.Store, Incarnation: claim.Incarnation}
}

// admit returns an error if the host that has sent a greeting does not belong to the fleet.
// address is the one that was dialed, or empty.
func (p *Process) admit(h peer.Hello, address string) error {
	err := p.identity.Judge(claimOf(h), func() bool {
		if address != "" {
			return p.expectsNoClaim(address)
		}
		return p.listedWithoutClaim(func(listed fleet.Host) bool { return listed.ID == h.Host })
	})
	return p.refused(wayGreeting, err, zap.String("host", string(h.Host)), zap.String("address", address))
}

// judgeRelay is admit for a host that sends a request to be relayed, or has relayed one.
func (p *Process) judgeRelay(host tables.HostID, c identity.Claim) error {
	err := p.identity.Judge(c, func() bool {
		return p.listedWithoutClaim(func(listed fleet.Host) bool { return listed.ID == host })
	})
	return p.refused(wayRelay, err, zap.String("host", string(host)))
}

// expectsNoClaim reports whether a host of the build before is listed at an address. A seed is
// known by another port than the listed one.
func (p *Process) expectsNoClaim(address string) bool {
	hosts := p.state.Hosts()
	if at := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Address == address }); at >= 0 {
		return !hosts[at].StatesFleet
	}
	return p.listedWithoutClaim(func(listed fleet.Host) bool { return sameIP(listed.Address, address) })
}

// listedWithoutClaim reports whether a host of the build before is listed that matches.
func (p *Process) listedWithoutClaim(matches func(fleet.Host) bool) bool {
	return slices.ContainsFunc(p.state.Hosts(), func(h fleet.Host) bool { return !h.StatesFleet && matches(h) })
}

// sameIP reports whether two addresses are of one machine.
func sameIP(a, b string) bool {
	first, _, err := net.SplitHostPort(a)
	second, _, otherErr := net.SplitHostPort(b)
	return err == nil && otherErr == nil && first == second
}

// refused counts and logs a refused peer, and returns err.
func (p *Process) refused(way string, err error, fields ...zap.Field) error {
	var refused *identity.RefusedError
	if errors.As(err, &refused) {
		p.peerRefused(way, refused.Reason, append(fields, zap.Error(err))...)
	}
	return err
}

func (p *Process) peerRefused(way string, reason identity.Reason, fields ...zap.Field) {
	p.metrics.PeerRefused(way, string(reason))
	if p.refusedPeers.due(p.clock.Now(), way+" "+string(reason)) {
		event.PeerRefused.Log(p.logger, append(fields, zap.String("way", way), zap.String("reason", string(reason)))...)
	}
}
