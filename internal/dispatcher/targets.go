package dispatcher

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// downDuration is how long a target that refused a connection gets no new
	// requests.
	downDuration = 1 * time.Second
	// rampDuration is how long after this host became the owner of a target the
	// limit on its concurrent requests is halved.
	rampDuration = 2 * time.Second
)

// SyncTargets updates the target table from the configuration and the membership.
// It returns before the update is done. The caller must call it after each change
// of either.
func (d *Dispatcher) SyncTargets() {
	go d.post(d.syncTargets)
}

func (d *Dispatcher) syncTargets() {
	doc := d.Document()
	if doc == nil {
		return
	}
	d.state.MaxQueuedPerTarget = doc.Limits.QueueLimit()
	for name, cfg := range doc.Targets {
		d.syncTarget(doc, tables.TargetID(name), cfg)
	}
	d.removeTargets(doc)
	d.returnUnservable()
}

func (d *Dispatcher) syncTarget(doc *config.Document, id tables.TargetID, cfg config.Target) {
	t := d.state.Targets.Get(id)
	known := t != nil
	if !known {
		t = &tables.Target{ID: id}
		d.state.Targets.Put(t)
	}
	applyConfig(t, doc, cfg)
	d.updateServices(t, doc, cfg)
	d.setLeaving(t, d.Membership.TargetState(id) == tables.HostLeaving)
	gained := d.setOwned(t, d.Membership.Owner(id, t.Domain) == d.Host)
	if gained && known {
		t.TakenOverAt = d.Clock.Now()
	}
}

// applyConfig copies the configuration of a target to its entry in the target
// table.
func applyConfig(t *tables.Target, doc *config.Document, cfg config.Target) {
	t.Address = cfg.Address
	t.Domain = tables.DomainID(cfg.FailureDomain)
	t.Generation = cfg.Generation
	t.PlainService = isPlain(doc, cfg)
	t.ChecksFencing = cfg.ChecksFencing
	t.Drained = cfg.Drained
	t.WindowMin, t.WindowMax = cfg.Window()
	t.Speed = doc.Generations[cfg.Generation].Speed()
}

func isPlain(doc *config.Document, cfg config.Target) bool {
	for _, s := range cfg.Services {
		return doc.Services[s].Kind == config.PlainService
	}
	return false
}

func (d *Dispatcher) setLeaving(t *tables.Target, leaving bool) {
	if leaving && !t.Leaving {
		event.TargetLeaving.Log(d.Logger, zap.String("target", string(t.ID)))
	}
	t.Leaving = leaving
}

// setOwned records whether this host owns a target. It reports whether the host
// became the owner by this call.
func (d *Dispatcher) setOwned(t *tables.Target, owned bool) bool {
	if owned == t.Owned {
		return false
	}
	t.Owned = owned
	if owned {
		t.RampUntil = d.Clock.Now().Add(rampDuration)
		event.TargetOwned.Log(d.Logger, zap.String("target", string(t.ID)))
		return true
	}
	event.TargetOwnershipLost.Log(d.Logger, zap.String("target", string(t.ID)))
	return false
}

func (d *Dispatcher) removeTargets(doc *config.Document) {
	var removed []tables.TargetID
	d.state.Targets.Each(func(t *tables.Target) {
		if _, ok := doc.Targets[string(t.ID)]; !ok {
			removed = append(removed, t.ID)
		}
	})
	for _, id := range removed {
		d.state.Targets.Delete(id)
		delete(d.crashReported, id)
		delete(d.loadedOrders, id)
		d.state.Prefixes.Forget(id)
	}
}

// returnUnservable returns queued requests to their gates if this host no longer
// owns an available target for them.
func (d *Dispatcher) returnUnservable() {
	for _, j := range d.jobs {
		if j.request != nil && !j.started && !d.servable(j.request) {
			d.finish(j, peer.Finished{Kind: errkind.NoTarget, Detail: "the targets have another owner or are closed"})
		}
	}
}

// markDown keeps new requests off a target that refused a connection.
func (d *Dispatcher) markDown(id tables.TargetID) {
	if t := d.state.Targets.Get(id); t != nil {
		t.DownUntil = d.Clock.Now().Add(downDuration)
	}
}

// recordCrash records that the target of j crashed while it ran j. If j had
// started before the latest recorded crash, it failed because of that crash, and
// no new one is recorded. The returned channel is closed once the peers have
// received the report of the crash; it is nil if the target or the request is no
// longer in the tables.
func (d *Dispatcher) recordCrash(j *job) <-chan struct{} {
	t := d.state.Targets.Get(j.target)
	r := d.state.Requests.Get(j.msg.ID)
	if t == nil || r == nil {
		return nil
	}
	now := d.Clock.Now()
	t.DownUntil = now.Add(downDuration)
	if !t.LastCrash.IsZero() && !r.Started.After(t.LastCrash) {
		return d.crashReported[t.ID]
	}
	t.LastCrash = now
	d.state.Prefixes.Forget(t.ID)
	suspects := d.suspects(t.ID)
	event.TargetCrashed.Log(d.Logger, zap.String("target", string(t.ID)), zap.Int("in_flight", len(suspects)))
	d.crashReported[t.ID] = d.Quarantine.RecordCrash(t.ID, suspects)
	return d.crashReported[t.ID]
}

// suspects returns the fingerprints that a target is running, each with the
// lowest request ID among its requests.
func (d *Dispatcher) suspects(id tables.TargetID) []SuspectFingerprint {
	byFingerprint := make(map[tables.Fingerprint]SuspectFingerprint)
	for _, j := range d.jobs {
		m := &j.msg
		if !j.started || j.target != id || m.Fingerprint == 0 {
			continue
		}
		previous, ok := byFingerprint[m.Fingerprint]
		if ok && previous.Request < m.ID {
			continue
		}
		byFingerprint[m.Fingerprint] = SuspectFingerprint{Fingerprint: m.Fingerprint, Customer: m.Customer, Service: m.Service, Request: m.ID}
	}
	return slices.Collect(maps.Values(byFingerprint))
}

func isConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED)
}

// TargetClosed reports whether a target gets no new requests from this dispatcher
// because it is drained, leaving or not configured. It returns false if ctx ends
// first.
func (d *Dispatcher) TargetClosed(ctx context.Context, id tables.TargetID) bool {
	closed, err := callInLoop(ctx, d, func() bool {
		t := d.state.Targets.Get(id)
		return t == nil || t.Drained || t.Leaving
	})
	return closed && err == nil
}
