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
	// downFor keeps work off a target that refused a connection.
	downFor = 1 * time.Second
	// rampTime limits the window of a target that just changed its owner.
	rampTime = 2 * time.Second
)

// Sync posts an update of the target table from configuration and membership.
// It is called whenever one of them changes.
func (d *Dispatcher) Sync() {
	go d.post(d.sync)
}

func (d *Dispatcher) sync() {
	doc := d.Document()
	if doc == nil {
		return
	}
	d.state.MaxQueuedPerTarget = doc.Limits.QueueLimit()
	for name, t := range doc.Targets {
		d.syncTarget(doc, tables.TargetID(name), t)
	}
	d.dropTargets(doc)
	d.returnUnservable()
}

func (d *Dispatcher) syncTarget(doc *config.Document, id tables.TargetID, t config.Target) {
	row := d.state.Targets.Get(id)
	known := row != nil
	if !known {
		row = &tables.Target{ID: id}
		d.state.Targets.Put(row)
	}
	describe(row, doc, t)
	d.offer(row, doc, t)
	d.setLeaving(row, d.Membership.TargetState(id) == tables.HostLeaving)
	gained := d.setOwned(row, d.Membership.Owner(id, row.Domain) == d.Host)
	if gained && known {
		row.TakenOverAt = d.Clock.Now()
	}
}

// describe copies what configuration says of t to its row.
func describe(row *tables.Target, doc *config.Document, t config.Target) {
	row.Address = t.Address
	row.Domain = tables.DomainID(t.FailureDomain)
	row.Generation = t.Generation
	row.Plain = isPlain(doc, t)
	row.ChecksFencing = t.ChecksFencing
	row.Drained = t.Drained
	row.WindowMin, row.WindowMax = t.Window()
	row.Speed = doc.Generations[t.Generation].Speed()
}

func isPlain(doc *config.Document, t config.Target) bool {
	for _, s := range t.Services {
		return doc.Services[s].Kind == config.PlainService
	}
	return false
}

func (d *Dispatcher) setLeaving(row *tables.Target, leaving bool) {
	if leaving && !row.Leaving {
		event.TargetLeaving.Log(d.Logger, zap.String("target", string(row.ID)))
	}
	row.Leaving = leaving
}

// setOwned reports whether this host became the owner.
func (d *Dispatcher) setOwned(row *tables.Target, owned bool) bool {
	if owned == row.Owned {
		return false
	}
	row.Owned = owned
	if owned {
		row.RampUntil = d.Clock.Now().Add(rampTime)
		event.TargetOwned.Log(d.Logger, zap.String("target", string(row.ID)))
		return true
	}
	event.TargetOwnershipLost.Log(d.Logger, zap.String("target", string(row.ID)))
	return false
}

func (d *Dispatcher) dropTargets(doc *config.Document) {
	var gone []tables.TargetID
	d.state.Targets.All(func(t *tables.Target) {
		if _, ok := doc.Targets[string(t.ID)]; !ok {
			gone = append(gone, t.ID)
		}
	})
	for _, id := range gone {
		d.state.Targets.Delete(id)
		delete(d.warned, id)
		delete(d.held, id)
		d.state.Prefixes.Forget(id)
	}
}

// returnUnservable gives queued requests back to their gates when this host no
// longer owns an open target for them.
func (d *Dispatcher) returnUnservable() {
	for _, j := range d.jobs {
		if j.row != nil && !j.started && !d.servable(j.row) {
			d.finish(j, peer.Finished{Kind: errkind.NoTarget, Detail: "the targets have another owner or are closed"})
		}
	}
}

// markDown keeps new work off a target that refused a connection.
func (d *Dispatcher) markDown(id tables.TargetID) {
	if t := d.state.Targets.Get(id); t != nil {
		t.DownUntil = d.Clock.Now().Add(downFor)
	}
}

// crashed records that the target of j went down while it ran j. Failures of
// requests that had started before the latest crash belong to that crash. It
// returns the channel that is closed once the peers know, or nil.
func (d *Dispatcher) crashed(j *job) <-chan struct{} {
	t := d.state.Targets.Get(j.target)
	r := d.state.Requests.Get(j.msg.ID)
	if t == nil || r == nil {
		return nil
	}
	now := d.Clock.Now()
	t.DownUntil = now.Add(downFor)
	if !t.LastCrash.IsZero() && !r.Started.After(t.LastCrash) {
		return d.warned[t.ID]
	}
	t.LastCrash = now
	d.state.Prefixes.Forget(t.ID)
	suspects := d.inFlight(t.ID)
	event.TargetCrashed.Log(d.Logger, zap.String("target", string(t.ID)), zap.Int("in_flight", len(suspects)))
	d.warned[t.ID] = d.Quarantine.Crashed(t.ID, suspects)
	return d.warned[t.ID]
}

// inFlight returns the content that a target runs, each once.
func (d *Dispatcher) inFlight(id tables.TargetID) []Suspect {
	found := make(map[tables.Fingerprint]Suspect)
	for _, j := range d.jobs {
		m := &j.msg
		if !j.started || j.target != id || m.Fingerprint == 0 {
			continue
		}
		old, ok := found[m.Fingerprint]
		if ok && old.Request < m.ID {
			continue
		}
		found[m.Fingerprint] = Suspect{Fingerprint: m.Fingerprint, Customer: m.Customer, Service: m.Service, Request: m.ID}
	}
	return slices.Collect(maps.Values(found))
}

func isRefusedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED)
}

// Closed reports whether a target gets no new work from this dispatcher.
func (d *Dispatcher) Closed(ctx context.Context, id tables.TargetID) bool {
	closed, err := ask(ctx, d, func() bool {
		t := d.state.Targets.Get(id)
		return t == nil || t.Drained || t.Leaving
	})
	return closed && err == nil
}
