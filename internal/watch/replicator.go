package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods of the messages between hosts.
const (
	// methodAttach requests the full state of a host and its updates from then
	// on.
	methodAttach = "watch.attach"
	// methodUpdate carries an Update, in either direction.
	methodUpdate = "watch.news"
)

// updateSenders is the number of highest-ranked live hosts that send updates to
// the hosts attached to them.
const updateSenders = 2

// attachRequest carries the attaching host and its records of the Hosts stream.
type attachRequest struct {
	Host  fleet.Host `json:"host"`
	Hosts []Change   `json:"hosts,omitempty"`
}

// Replicator sends the state of this host to the hosts attached to it. To the
// hosts that this host is attached to, it sends the records that this host has
// read from the store or written there. It is safe for concurrent use.
type Replicator struct {
	self    fleet.Host
	watcher *Watcher
	links   *links.Links
	clock   clockwork.Clock
	logger  *zap.Logger
	// overload is used only by Run.
	overload *links.OverloadDetector
	// OnDetach is called when the last connection of a host has closed. It may
	// be nil.
	OnDetach func(tables.HostID)

	mu       sync.Mutex
	attached map[*peer.Conn]*subscriber
	// upstreamSeq holds, for each host that this one is attached to, the
	// sequence number up to which changes were sent to it.
	upstreamSeq map[*peer.Conn]int
	wake        chan struct{}
}

// subscriber is an attached host. sentSeq is the sequence number up to which
// changes were sent to it.
type subscriber struct {
	host    tables.HostID
	sentSeq int
}

// NewReplicator returns a replicator and registers its message handlers with
// mux.
func NewReplicator(self fleet.Host, w *Watcher, l *links.Links, mux *peer.Mux, clock clockwork.Clock, logger *zap.Logger) *Replicator {
	r := &Replicator{self: self, watcher: w, links: l, clock: clock, logger: logger, overload: links.NewOverloadDetector(), attached: make(map[*peer.Conn]*subscriber), upstreamSeq: make(map[*peer.Conn]int), wake: make(chan struct{}, 1)}
	peer.Handle(mux, methodAttach, r.onAttach)
	peer.Handle(mux, methodUpdate, func(_ context.Context, conn *peer.Conn, u Update) (struct{}, error) {
		if u.Overloaded {
			l.MarkOverloaded(conn)
		}
		w.ApplyUpdate(u)
		return struct{}{}, nil
	})
	return r
}

// Attach requests the state of the host at the other end of conn and its
// updates from then on. Errors are those of peer.Conn.Call.
func (r *Replicator) Attach(ctx context.Context, conn *peer.Conn) error {
	var initial Update
	hosts := r.watcher.State.AllOf(Hosts)
	if err := conn.Call(ctx, methodAttach, attachRequest{Host: r.self, Hosts: hosts}, &initial); err != nil {
		return err
	}
	r.watcher.ApplyUpdate(initial)
	newer := r.watcher.State.NewerThan(initial.Changes)
	conn.NotifyAsync(methodUpdate, r.watcher.newUpdate(newer))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreamSeq[conn] = newer.Seq
	return nil
}

func (r *Replicator) onAttach(_ context.Context, conn *peer.Conn, a attachRequest) (Update, error) {
	r.watcher.State.ApplyUpdate(r.clock.Now(), a.Hosts, nil)
	snapshot := r.watcher.State.Since(0)
	r.mu.Lock()
	r.attached[conn] = &subscriber{host: a.Host.ID, sentSeq: snapshot.Seq}
	r.mu.Unlock()
	go r.awaitClose(conn)
	return r.watcher.newUpdate(snapshot), nil
}

func (r *Replicator) awaitClose(conn *peer.Conn) {
	<-conn.Done()
	r.mu.Lock()
	host := r.attached[conn].host
	delete(r.attached, conn)
	stillAttached := slices.ContainsFunc(slices.Collect(maps.Values(r.attached)), func(sub *subscriber) bool { return sub.host == host })
	r.mu.Unlock()
	if !stillAttached && r.OnDetach != nil {
		r.OnDetach(host)
	}
}

// Attached returns the hosts that are attached to this one.
func (r *Replicator) Attached() map[tables.HostID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[tables.HostID]bool, len(r.attached))
	for _, sub := range r.attached {
		out[sub.host] = true
	}
	return out
}

// Broadcast sends a notification to every attached host.
func (r *Replicator) Broadcast(method string, params any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.attached {
		conn.NotifyAsync(method, params)
	}
}

// Wake makes Run send the next update immediately.
func (r *Replicator) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends updates every links.HeartbeatInterval, and after each Wake, until ctx
// ends.
func (r *Replicator) Run(ctx context.Context) {
	for {
		r.sendToAttached()
		r.sendUpstream()
		startedAt := r.clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-r.clock.After(links.HeartbeatInterval):
			r.checkOverload(r.clock.Now().Sub(startedAt))
		}
	}
}

// checkOverload records how long a wait of HeartbeatInterval took and updates
// the overload state.
func (r *Replicator) checkOverload(took time.Duration) {
	before := r.overload.Overloaded()
	r.overload.ObserveTimer(links.HeartbeatInterval, took)
	r.overload.SampleWork(r.clock.Now)
	if r.overload.Overloaded() {
		r.links.MarkOverloaded(nil)
	}
	if r.overload.Overloaded() != before {
		event.HostOverloadChanged.Log(r.logger, zap.Bool("busy", !before), zap.Duration("late", took-links.HeartbeatInterval))
	}
}

// sendToAttached sends new changes to the attached hosts if this host is among the
// first updateSenders live hosts. Otherwise it sends only heartbeats; the changes
// follow once this host ranks high enough.
func (r *Replicator) sendToAttached() {
	sendsUpdates := r.watcher.rank() < updateSenders
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, sub := range r.attached {
		update := Update{AgeMS: heartbeatAge}
		if sendsUpdates {
			snapshot := r.watcher.State.Since(sub.sentSeq)
			sub.sentSeq = snapshot.Seq
			update = r.watcher.newUpdate(snapshot)
		}
		update.Overloaded = r.overload.Overloaded()
		conn.NotifyAsync(methodUpdate, update)
	}
}

// sendUpstream sends new changes that this host has read from the store or written
// there to the hosts that it is attached to, which pass them on. If this host has
// just read the store without changes, it sends an update with the age of the state.
func (r *Replicator) sendUpstream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	newSeq := make(map[*peer.Conn]int)
	for _, live := range r.links.LiveHosts() {
		seq, attached := r.upstreamSeq[live.Conn]
		if !attached {
			continue
		}
		snapshot := r.watcher.State.StoreReadsSince(seq)
		newSeq[live.Conn] = snapshot.Seq
		if len(snapshot.Changes) > 0 || r.watcher.readWithin(links.HeartbeatInterval) {
			live.Conn.NotifyAsync(methodUpdate, r.watcher.newUpdate(snapshot))
		}
	}
	for conn, seq := range r.upstreamSeq {
		if _, done := newSeq[conn]; !done && conn.Open() {
			newSeq[conn] = seq
		}
	}
	r.upstreamSeq = newSeq
}
