package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods of the messages between hosts.
const (
	// methodAttach requests the updates of a host from now on, beginning with the
	// records that the attaching host lacks.
	methodAttach = "watch.attach"
	// methodUpdate carries an Update, in either direction.
	methodUpdate = "watch.news"
	// methodResend requests, in either direction, the records that the sender of
	// the request lacks.
	methodResend = "watch.resend"
)

const (
	// updateSenders is the number of highest-ranked live hosts that send updates to
	// the hosts attached to them.
	updateSenders = 2
	// attachTimeout bounds an attempt to attach.
	attachTimeout = 5 * time.Second
	// resendInterval is the minimum time between two requests to one host for
	// missing records.
	resendInterval = 500 * time.Millisecond
)

// attachRequest carries the attaching host and up to where it has applied each
// stream.
type attachRequest struct {
	Host  fleet.Host      `json:"host"`
	Marks map[Stream]Mark `json:"marks,omitempty"`
	// Hosts is sent by the build before Marks, which expects all records in the
	// response.
	Hosts []Change `json:"hosts,omitempty"`
}

// resendRequest tells up to where its sender has applied each stream.
type resendRequest struct {
	Marks map[Stream]Mark `json:"marks"`
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
	// OnAttach is called when a host has attached. It may be nil.
	OnAttach func(tables.HostID, *peer.Conn)
	// TrustsStateOf reports whether the state of a peer that has sent a greeting may be used. It may be
	// nil if that of all peers may.
	TrustsStateOf func(peer.Hello) bool

	mu       sync.Mutex
	attached map[*peer.Conn]*subscriber
	// upstreamSeq holds, for each host that this one is attached to, the
	// sequence number up to which changes were sent to it.
	upstreamSeq map[*peer.Conn]int
	// resendAt holds the earliest time of the next request for missing records.
	resendAt map[*peer.Conn]time.Time
	// current holds the connections with whose last update this host had all that
	// the sender had.
	current map[*peer.Conn]bool
	wake    chan struct{}
}

// subscriber is an attached host.
type subscriber struct {
	host tables.HostID
	// sent tells up to where the state was sent.
	sent sentState
}

// NewReplicator returns a replicator and registers its message handlers with
// mux.
func NewReplicator(self fleet.Host, w *Watcher, l *links.Links, mux *peer.Mux, clock clockwork.Clock, logger *zap.Logger) *Replicator {
	r := &Replicator{
		self: self, watcher: w, links: l, clock: clock, logger: logger, overload: links.NewOverloadDetector(),
		attached:    make(map[*peer.Conn]*subscriber),
		upstreamSeq: make(map[*peer.Conn]int),
		resendAt:    make(map[*peer.Conn]time.Time),
		current:     make(map[*peer.Conn]bool),
		wake:        make(chan struct{}, 1),
	}
	w.Attached = r.Attached
	peer.Handle(mux, methodAttach, r.onAttach)
	peer.Handle(mux, methodUpdate, r.onUpdate)
	peer.Handle(mux, methodResend, func(_ context.Context, conn *peer.Conn, request resendRequest) (struct{}, error) {
		conn.NotifyAsync(methodUpdate, w.newUpdate(w.State.After(request.Marks)))
		return struct{}{}, nil
	})
	return r
}

// Attach requests the updates of the host at the other end of conn, and sends it
// the records that it lacks. Errors are those of peer.Conn.Call.
func (r *Replicator) Attach(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var reply Update
	if err := conn.Call(ctx, methodAttach, attachRequest{Host: r.self, Marks: r.watcher.State.Marks()}, &reply); err != nil {
		return err
	}
	if reply.AgeMS != heartbeatAge {
		// The build before Marks sends its whole state.
		current, _ := r.watcher.ApplyUpdate(reply)
		r.setCurrent(conn, current)
	}
	lacking := r.watcher.State.After(Snapshot{Spans: reply.spans()}.Marks())
	conn.NotifyAsync(methodUpdate, r.watcher.newUpdate(lacking))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreamSeq[conn] = lacking.Seq
	return nil
}

// onAttach adds a subscriber. The records that it lacks follow as its first
// update, the response contains only up to where this host has applied each
// stream.
func (r *Replicator) onAttach(_ context.Context, conn *peer.Conn, a attachRequest) (Update, error) {
	if greeted := conn.Peer().Host; greeted != "" && greeted != a.Host.ID {
		return Update{}, errkind.New(errkind.Unauthenticated, fmt.Sprintf("host %q attaches as host %q", greeted, a.Host.ID))
	}
	if r.trusts(conn) {
		r.watcher.State.ApplyUpdate(r.clock.Now(), a.Hosts, nil)
	}
	snapshot := r.watcher.State.After(a.Marks)
	update := r.watcher.newUpdate(snapshot)
	r.mu.Lock()
	_, again := r.attached[conn]
	r.attached[conn] = &subscriber{host: a.Host.ID, sent: snapshot.sentState()}
	if a.Marks != nil {
		conn.NotifyAsync(methodUpdate, update)
	}
	r.mu.Unlock()
	if !again {
		go r.awaitClose(conn)
	}
	if r.OnAttach != nil {
		r.OnAttach(a.Host.ID, conn)
	}
	if a.Marks == nil {
		update.Ends = endsOf(snapshot)
		return update, nil
	}
	return Update{Spans: snapshot.Spans, AgeMS: heartbeatAge}, nil
}

// endsOf returns the offsets that an update of the build before Spans carries.
func endsOf(s Snapshot) map[Stream]int64 {
	out := make(map[Stream]int64, len(s.Spans))
	for name, span := range s.Spans {
		out[name] = span.End
	}
	return out
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

// onUpdate applies an update. If records before it are missing, it requests them
// from the sender.
func (r *Replicator) onUpdate(_ context.Context, conn *peer.Conn, u Update) (struct{}, error) {
	if u.Overloaded {
		r.links.MarkOverloaded(conn)
	}
	switch {
	case u.AgeMS == heartbeatAge:
	case !r.trusts(conn):
		r.watcher.State.ApplyDepartures(u.Departures)
		if r.mayRequestResend(conn) {
			go r.askAgain(conn)
		}
	case u.Unchanged:
		if r.isCurrent(conn) {
			r.watcher.confirmUnchanged(u.AgeMS)
		}
	default:
		current, missing := r.watcher.ApplyUpdate(u)
		r.setCurrent(conn, current)
		if missing && r.mayRequestResend(conn) {
			conn.NotifyAsync(methodResend, resendRequest{Marks: r.watcher.State.Marks()})
		}
	}
	return struct{}{}, nil
}

func (r *Replicator) trusts(conn *peer.Conn) bool {
	return r.TrustsStateOf == nil || r.TrustsStateOf(conn.Peer())
}

// askAgain asks a peer whose state is not used for its greeting, and for its state if it may be used now.
func (r *Replicator) askAgain(conn *peer.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), attachTimeout)
	defer cancel()
	if err := conn.Regreet(ctx); err != nil {
		// The peer is refused, or the connection is lost.
		_ = conn.Close()
		return
	}
	if r.trusts(conn) {
		conn.NotifyAsync(methodResend, resendRequest{Marks: r.watcher.State.Marks()})
	}
}

func (r *Replicator) isCurrent(conn *peer.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current[conn]
}

func (r *Replicator) setCurrent(conn *peer.Conn, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.current, func(c *peer.Conn, _ bool) bool { return !c.Open() })
	r.current[conn] = current
}

// mayRequestResend reports whether resendInterval has passed since the last
// request for missing records on a connection.
func (r *Replicator) mayRequestResend(conn *peer.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	maps.DeleteFunc(r.resendAt, func(_ *peer.Conn, at time.Time) bool { return !now.Before(at) })
	if _, waiting := r.resendAt[conn]; waiting {
		return false
	}
	r.resendAt[conn] = now.Add(resendInterval)
	return true
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
	r.BroadcastTo(func(tables.HostID) bool { return true }, method, params)
}

// BroadcastTo sends a notification to the attached hosts for which wanted returns true.
func (r *Replicator) BroadcastTo(wanted func(tables.HostID) bool, method string, params any) {
	message := encoded(params)
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, sub := range r.attached {
		if wanted(sub.host) {
			conn.NotifyAsync(method, message)
		}
	}
}

// encoded returns params as JSON, so that a message to many hosts is encoded only
// once.
func encoded(params any) any {
	raw, err := json.Marshal(params)
	if err != nil {
		// Sending params itself fails with the same error, which closes the
		// connection.
		return params
	}
	return json.RawMessage(raw)
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
// first updateSenders live hosts. Otherwise it sends only heartbeats. Once this
// host ranks high enough, an attached host that lacks changes requests them.
func (r *Replicator) sendToAttached() {
	sendsUpdates := r.watcher.rank() < updateSenders
	r.mu.Lock()
	defer r.mu.Unlock()
	updates := make(map[sentState]attachedUpdate)
	for conn, sub := range r.attached {
		next, made := updates[sub.sent]
		if !made {
			next = r.updateAfter(sub.sent, sendsUpdates)
			updates[sub.sent] = next
		}
		sub.sent = next.sent
		conn.NotifyAsync(methodUpdate, next.message)
	}
}

// attachedUpdate is an encoded update for all attached hosts that were sent the
// same state before.
type attachedUpdate struct {
	message any
	sent    sentState
}

// updateAfter returns the update that follows a sent state.
func (r *Replicator) updateAfter(sent sentState, withChanges bool) attachedUpdate {
	snapshot := r.watcher.State.Since(sent.seq, sent.marks())
	update := Update{AgeMS: heartbeatAge}
	switch {
	case withChanges && sent.carried && snapshot.empty() && snapshot.sentState().sameAs(sent):
		update = Update{Unchanged: true, AgeMS: r.watcher.Age().Milliseconds()}
	case withChanges:
		update = r.watcher.newUpdate(snapshot)
	}
	update.Overloaded = r.overload.Overloaded()
	next := snapshot.sentState()
	next.carried = withChanges
	return attachedUpdate{message: encoded(update), sent: next}
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
		if !snapshot.empty() || r.watcher.readWithin(links.HeartbeatInterval) {
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
