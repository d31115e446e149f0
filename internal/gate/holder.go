package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxClockSkew is the maximum difference between the clocks of hosts and the log.
// It equals claims.DefaultSkew.
const maxClockSkew = 30 * time.Second

// targetSet maps targets to their addresses. The claim of a key covers all
// targets of its service, including drained and leaving ones.
type targetSet map[tables.TargetID]string

// targetsOf returns the configured targets of a service.
func targetsOf(doc *config.Document, service string) targetSet {
	s := make(targetSet)
	for name, t := range doc.Targets {
		if serves(t, service) {
			s[tables.TargetID(name)] = t.Address
		}
	}
	return s
}

// digest returns a hash of the targets and their addresses.
func (s targetSet) digest() uint64 {
	entries := make([]tables.TargetID, 0, len(s))
	for id, address := range s {
		entries = append(entries, id+"@"+tables.TargetID(address))
	}
	return claim.TargetsDigest(entries)
}

// filter returns the views of targets that are in the set and whose address has
// not changed. A nil set contains every target.
func (s targetSet) filter(doc *config.Document, views []route.View) []route.View {
	if s == nil {
		return views
	}
	return slices.DeleteFunc(views, func(v route.View) bool {
		address, ok := s[v.Target]
		return !ok || doc.Targets[string(v.Target)].Address != address
	})
}

// addresses returns the addresses of the given targets. The address of a target that is
// not in the set is empty.
func (s targetSet) addresses(ids []tables.TargetID) targetSet {
	out := make(targetSet, len(ids))
	for _, id := range ids {
		out[id] = s[id]
	}
	return out
}

// addressesFor returns the addresses to which a request may be sent: those in its
// claim, or the configured ones if it has no key.
func (g *Gate) addressesFor(rs *requestState, ids []tables.TargetID) targetSet {
	allowed := rs.targetsInClaim
	if allowed == nil {
		allowed = targetsOf(g.Document(), string(rs.msg.Service))
	}
	return allowed.addresses(ids)
}

// holderStopped reports whether the request that holds a key can no longer be sent
// to a target, and the targets that may have received it are the claimed targets
// of adm.
func (g *Gate) holderStopped(adm admittedRequest, result peer.AcquireResult) bool {
	now := g.Clock.Now()
	if result.HeldSince.IsZero() || !settle.HolderStopped(now, result.HeldSince, settle.MaxSendDelay, maxClockSkew) {
		return false
	}
	return result.TargetsDigest == adm.targetsInClaim.digest()
}

// resolveHolder queries the targets to resolve the outcome of a holder whose gate
// cannot be reached. Unless the outcome is unknown, it records the outcome at the
// home of the key, for later requests with that key.
func (g *Gate) resolveHolder(rs *requestState, adm admittedRequest) {
	facts := &settle.Facts{
		PlainService: rs.msg.Plain, MayHaveBeenSent: true, SenderStopped: true,
		Allowed: slices.Sorted(maps.Keys(adm.targetsInClaim)),
	}
	rs.updateFacts(facts)
	rs.addresses = adm.targetsInClaim
	g.resolveAtTargets(rs, "", facts, g.Clock.Now())
	g.recordGateOutcome(rs)
}
