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

// clockSkew bounds how far the clocks of hosts and log differ, as at the homes
// of keys.
const clockSkew = 30 * time.Second

// targetSet holds targets with their addresses. The claim of a key speaks of all
// targets of its service, whether they are open or not.
type targetSet map[tables.TargetID]string

// targetsOf returns the targets of a service.
func targetsOf(doc *config.Document, service string) targetSet {
	s := make(targetSet)
	for name, t := range doc.Targets {
		if serves(t, service) {
			s[tables.TargetID(name)] = t.Address
		}
	}
	return s
}

// digest identifies the set, addresses included.
func (s targetSet) digest() uint64 {
	named := make([]tables.TargetID, 0, len(s))
	for id, address := range s {
		named = append(named, id+"@"+tables.TargetID(address))
	}
	return claim.TargetsDigest(named)
}

// only returns the views of targets that are in the set and still have the same
// address. A nil set holds every target.
func (s targetSet) only(doc *config.Document, views []route.View) []route.View {
	if s == nil {
		return views
	}
	return slices.DeleteFunc(views, func(v route.View) bool {
		address, ok := s[v.Target]
		return !ok || doc.Targets[string(v.Target)].Address != address
	})
}

// addresses returns the part of the set with the given targets.
func (s targetSet) addresses(ids []tables.TargetID) map[tables.TargetID]string {
	if s == nil {
		return nil
	}
	out := make(map[tables.TargetID]string, len(ids))
	for _, id := range ids {
		out[id] = s[id]
	}
	return out
}

// holderStopped reports whether nobody can send the holder of a key any more, and
// every target that may have got it is known here.
func (g *Gate) holderStopped(adm admitted, result peer.AcquireResult) bool {
	now := g.Clock.Now()
	if result.HeldSince.IsZero() || !settle.HolderStopped(now, result.HeldSince, settle.MaxSendDelay, clockSkew) {
		return false
	}
	return result.TargetsDigest == adm.claimed.digest()
}

// settleHolder finds the outcome of a holder whose gate is gone at the targets,
// and records it for the next one who asks.
func (g *Gate) settleHolder(f *flight, adm admitted) {
	facts := &settle.Facts{
		Plain: f.msg.Plain, MayHaveBeenSent: true, SenderStopped: true,
		Allowed: slices.Sorted(maps.Keys(adm.claimed)), Offset: f.since(0).tokens,
	}
	g.settleAtTargets(f, "", facts, g.Clock.Now())
	g.recordEnd(f)
}
