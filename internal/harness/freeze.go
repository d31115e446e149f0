package harness

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// freezer stops a controller between two of its steps: orders wait where they
// leave the process, after the last check of the lease, and a frozen process
// stops at its next reading of the clock or call of the log. It goes on with
// what it believed. It is safe for concurrent use.
type freezer struct {
	mu sync.Mutex
	// frozen and held are closed at the end; nil while there is none.
	frozen, held chan struct{}
	ended        bool
	// waiting counts the orders that are held.
	waiting int
}

// hold keeps the orders that are sent from now on.
func (f *freezer) hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil && !f.ended {
		f.held = make(chan struct{})
	}
}

// freeze stops the process.
func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil && !f.ended {
		f.frozen = make(chan struct{})
	}
}

// wake lets the held orders out and the process go on.
func (f *freezer) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, gate := range []*chan struct{}{&f.held, &f.frozen} {
		if *gate != nil {
			close(*gate)
		}
		*gate = nil
	}
}

// end wakes the process and drops the held orders, as its death does.
func (f *freezer) end() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.wake()
}

// pass waits while the process is frozen.
func (f *freezer) pass() {
	f.mu.Lock()
	gate := f.frozen
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// passOrder waits while orders are held. It reports whether the order waited
// and whether the process lives on.
func (f *freezer) passOrder() (waited, alive bool) {
	f.mu.Lock()
	gate := f.held
	if gate != nil {
		f.waiting++
	}
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if gate != nil {
		f.waiting--
	}
	return gate != nil, !f.ended
}

func (f *freezer) waitingOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// heldEngine is an engine as a freezable process reaches it.
type heldEngine struct {
	target.Engine
	f *freezer
}

// Apply sends an order once it is not held any more. The context of a held one
// may have ended meanwhile; what had left the process arrives all the same.
func (e heldEngine) Apply(ctx context.Context, o target.Order) error {
	waited, alive := e.f.passOrder()
	if !alive {
		return target.ErrNotAdmitted
	}
	if waited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), lease.OrderTimeout)
		defer cancel()
	}
	return e.Engine.Apply(ctx, o)
}

// frozenClock is a clock that a frozen process cannot read.
type frozenClock struct {
	clockwork.Clock
	f *freezer
}

// Now returns the time once the process is not frozen any more.
func (c frozenClock) Now() time.Time {
	c.f.pass()
	return c.Clock.Now()
}

// frozenLog is the log as a freezable process reaches it.
type frozenLog struct {
	ports.Log
	f *freezer
}

// Append adds a record; a frozen process does so when it wakes.
func (l frozenLog) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	l.f.pass()
	return l.Log.Append(ctx, stream, data)
}

// Read returns records; a frozen process sees them when it wakes.
func (l frozenLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	l.f.pass()
	page, err := l.Log.Read(ctx, stream, from, wait)
	l.f.pass()
	return page, err
}
