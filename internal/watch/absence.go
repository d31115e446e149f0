package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// goneAfter is how long a host may be detached from the first live host until its
	// record is removed. A host that is still alive writes it again.
	goneAfter = 30 * time.Second
	// removalInterval is the time between two removals. It bounds how far the shares
	// of quotas can shift while hosts are cut off that still serve callers.
	removalInterval = 5 * time.Second
)

// absences tracks since when hosts have been detached from this one.
type absences struct {
	since map[tables.HostID]time.Time
}

// update records which hosts are attached and returns the one that has been detached
// for the longest time, if that is at least goneAfter.
func (a *absences) update(now time.Time, hosts []fleet.Host, attached map[tables.HostID]bool) (tables.HostID, bool) {
	since := make(map[tables.HostID]time.Time, len(hosts))
	var longest tables.HostID
	for _, h := range hosts {
		if attached[h.ID] {
			continue
		}
		since[h.ID] = now
		if before, known := a.since[h.ID]; known {
			since[h.ID] = before
		}
		if longest == "" || since[h.ID].Before(since[longest]) {
			longest = h.ID
		}
	}
	a.since = since
	return longest, longest != "" && now.Sub(since[longest]) >= goneAfter
}

// removeGoneHosts removes the records of hosts that are gone, while this host is the
// first live one. Quotas and the slots of the local fallback are divided by the number
// of records.
func (w *Watcher) removeGoneHosts(ctx context.Context) {
	var tracked absences
	for ctx.Err() == nil {
		w.sleep(ctx, removalInterval)
		if w.rank() != 0 || w.Attached == nil {
			tracked = absences{}
			continue
		}
		attached := w.Attached()
		attached[w.self.ID] = true
		if id, gone := tracked.update(w.clock.Now(), w.State.Hosts(), attached); gone {
			w.removeHost(ctx, id)
		}
	}
}

func (w *Watcher) removeHost(ctx context.Context, id tables.HostID) {
	position, err := w.store.Put(ctx, Hosts, string(id), nil)
	if err != nil {
		w.recordFailure(Hosts, err)
		return
	}
	event.HostRemoved.Log(w.logger, zap.String("host", string(id)))
	w.State.ApplyOwn(w.clock.Now(), Hosts, Record{Key: string(id), Offset: position.Offset, Incarnation: position.Incarnation})
}
