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

// pauser simulates a controller process that is suspended for a while. An order is
// held after the controller has checked its lease for the last time, just before
// the order is sent. A paused controller blocks when it next reads the time or uses
// the log. After the pause the controller continues with the state that it had
// before. A pauser is safe for concurrent use.
type pauser struct {
	mu sync.Mutex
	// resumed is closed when the pause ends, and ordersReleased when held orders
	// are released. resumed is nil while the process is not paused, and
	// ordersReleased is nil while orders are not held.
	resumed, ordersReleased chan struct{}
	killed                  bool
	// heldOrders is the number of orders that wait to be sent.
	heldOrders int
}

// holdOrders holds all orders that are sent from now on. It has no effect after
// kill.
func (p *pauser) holdOrders() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordersReleased == nil && !p.killed {
		p.ordersReleased = make(chan struct{})
	}
}

// pause blocks the process when it next reads the time or uses the log. It has no
// effect after kill.
func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil && !p.killed {
		p.resumed = make(chan struct{})
	}
}

// resume releases the held orders and lets the process continue.
func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, done := range []*chan struct{}{&p.ordersReleased, &p.resumed} {
		if *done != nil {
			close(*done)
		}
		*done = nil
	}
}

// kill drops the held orders and all later ones, as the end of the process would,
// and unblocks all waiting goroutines.
func (p *pauser) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.resume()
}

// awaitResume blocks while the process is paused.
func (p *pauser) awaitResume() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// awaitOrderRelease blocks while orders are held. It reports whether the order
// waited and whether the process is still alive.
func (p *pauser) awaitOrderRelease() (waited, alive bool) {
	p.mu.Lock()
	released := p.ordersReleased
	if released != nil {
		p.heldOrders++
	}
	p.mu.Unlock()
	if released != nil {
		<-released
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if released != nil {
		p.heldOrders--
	}
	return released != nil, !p.killed
}

func (p *pauser) heldOrderCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldOrders
}

// pausableEngine is an engine client whose orders the pauser can hold.
type pausableEngine struct {
	target.Engine
	pauser *pauser
}

// Apply sends an order once orders are not held. An order that was held is sent
// even if its context has ended, because it represents a message that had already
// left the process. After kill, Apply returns target.ErrNotAdmitted.
func (e pausableEngine) Apply(ctx context.Context, o target.Order) error {
	waited, alive := e.pauser.awaitOrderRelease()
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

// pausableClock is a clock whose Now blocks while the process is paused.
type pausableClock struct {
	clockwork.Clock
	pauser *pauser
}

// Now blocks while the process is paused and then returns the time.
func (c pausableClock) Now() time.Time {
	c.pauser.awaitResume()
	return c.Clock.Now()
}

// pausableLog is a log client that blocks while the process is paused.
type pausableLog struct {
	ports.Log
	pauser *pauser
}

// Append blocks while the process is paused and then appends a record.
func (l pausableLog) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	l.pauser.awaitResume()
	return l.Log.Append(ctx, stream, data)
}

// Read blocks while the process is paused, before the read and again before it
// returns the records.
func (l pausableLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	l.pauser.awaitResume()
	page, err := l.Log.Read(ctx, stream, from, wait)
	l.pauser.awaitResume()
	return page, err
}
