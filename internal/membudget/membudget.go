// Package membudget bounds the memory that the requests of callers take on a host. Bytes
// are reserved before they are read. When there is no room, the slowest holders that have
// agreed to it give theirs up first, and the one that asks is refused if that does not
// make room soon.
package membudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// TinyBytes bounds what a holder has that may use the whole budget.
	TinyBytes = 12 << 10
	// SmallBytes bounds what a holder has that may use all but an eighth of the budget.
	// Larger ones may use three quarters, so that crowds of long bodies leave room for short
	// ones.
	SmallBytes = 64 << 10
	// evictionAge is how long a holder is safe from eviction. An ordinary body arrives in
	// less.
	evictionAge = 500 * time.Millisecond
	// minEvictedBytes is the least that an evicted holder has: smaller ones make no room.
	minEvictedBytes = 2 << 10
	// maxWait is how long a reservation waits for room.
	maxWait = 250 * time.Millisecond
)

// Budget is a number of bytes shared by all accounts. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock
	total int64

	mu        sync.Mutex
	used      int64
	evictable map[*Account]bool
	// freed is closed and replaced when bytes are given back.
	freed chan struct{}
}

// New returns a budget of total bytes; with zero there is no bound.
func New(clock clockwork.Clock, total int64) *Budget {
	return &Budget{clock: clock, total: total, evictable: make(map[*Account]bool), freed: make(chan struct{})}
}

// Bounded reports whether there is a bound.
func (b *Budget) Bounded() bool { return b != nil && b.total > 0 }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is what one holder has reserved.
type Account struct {
	budget *Budget
	// The lock of the budget guards all below.
	held, arrived int64
	since         time.Time
	evict         func()
	evicted       bool
	// expected is the least size by which the account is judged.
	expected int64
}

// Open returns an empty account. The budget may be nil, which means no bound.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// bounded reports whether the account counts. A nil account does not.
func (a *Account) bounded() bool { return a != nil && a.budget.Bounded() }

// Expect makes the account one of a holder of at least n bytes, as for a body whose length is
// not known.
func (a *Account) Expect(n int64) {
	if !a.bounded() {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.expected = n
}

// AllowEviction lets the budget call evict, at most once, from another goroutine when there
// is no room and the account is the slowest. evict must return at once and make the holder
// call Close soon.
func (a *Account) AllowEviction(evict func()) {
	if !a.bounded() {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.evict, a.since, a.arrived, a.evicted = evict, a.budget.clock.Now(), 0, false
	a.budget.evictable[a] = true
}

// ForbidEviction ends AllowEviction. It returns false if the account was evicted before.
func (a *Account) ForbidEviction() bool {
	if !a.bounded() {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.evictable, a)
	return !a.evicted
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	if !a.bounded() {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Arrived records that n bytes have arrived. The slowest account is the one with the fewest
// bytes a second since AllowEviction.
func (a *Account) Arrived(n int) {
	if !a.bounded() {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.arrived += int64(n)
}

// Reserve reserves n more bytes and reports whether there is room. It waits for a short time
// if holders give up theirs.
func (a *Account) Reserve(n int64) bool {
	if !a.bounded() {
		return true
	}
	b := a.budget
	deadline := b.clock.Now().Add(maxWait)
	for {
		reserved, victim, freed := b.try(a, n)
		if reserved {
			return true
		}
		if victim != nil {
			victim()
		}
		left := deadline.Sub(b.clock.Now())
		if freed == nil || left <= 0 {
			return false
		}
		b.await(freed, left)
	}
}

func (b *Budget) await(freed <-chan struct{}, limit time.Duration) {
	timer := b.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.Chan():
	}
}

// TryReserve reserves n more bytes if there is room now, and reports whether there was. It
// neither waits nor evicts.
func (a *Account) TryReserve(n int64) bool {
	if !a.bounded() {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || b.used+n > b.boundLocked(max(a.held+n, a.expected)) {
		return false
	}
	b.addLocked(a, n)
	return true
}

// try reserves n bytes if there is room. Otherwise it returns what evicts the slowest holder,
// if there is one, and a channel that is closed when bytes are given back; the channel is nil
// if no holder gives up its bytes.
func (b *Budget) try(a *Account, n int64) (reserved bool, evict func(), freed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false, nil, nil
	}
	if b.used+n <= b.boundLocked(max(a.held+n, a.expected)) {
		b.addLocked(a, n)
		return true, nil, nil
	}
	victim := b.slowestLocked(a)
	if victim == nil {
		return false, nil, b.waitLocked(max(a.held+n, a.expected))
	}
	victim.evicted = true
	delete(b.evictable, victim)
	return false, victim.evict, b.freed
}

// waitLocked returns the channel to wait on for a holder of bytes. Only tiny ones wait when
// nothing can be evicted: to let long ones wait would hold their connections.
func (b *Budget) waitLocked(bytes int64) <-chan struct{} {
	if bytes > TinyBytes {
		return nil
	}
	return b.freed
}

// boundLocked returns the bound of all reserved bytes for a holder of bytes.
func (b *Budget) boundLocked(bytes int64) int64 {
	switch {
	case bytes <= TinyBytes:
		return b.total
	case bytes <= SmallBytes:
		return b.total - b.total/8
	default:
		return b.total - b.total/4
	}
}

// slowestLocked returns the evictable account with the fewest bytes a second; nil if there is
// none that is old enough and has enough bytes.
func (b *Budget) slowestLocked(asking *Account) *Account {
	now := b.clock.Now()
	var slowest *Account
	lowest := 0.0
	for a := range b.evictable {
		age := now.Sub(a.since)
		if a == asking || age < evictionAge || a.held < minEvictedBytes {
			continue
		}
		if rate := float64(a.arrived) / age.Seconds(); slowest == nil || rate < lowest {
			slowest, lowest = a, rate
		}
	}
	return slowest
}

func (b *Budget) addLocked(a *Account, n int64) {
	b.used += n
	a.held += n
	if n < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Force reserves n more bytes whether or not there is room, and reports whether there was.
func (a *Account) Force(n int64) (room bool) {
	if !a.bounded() {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.addLocked(a, n)
	return a.budget.used <= a.budget.boundLocked(a.held)
}

// Release gives back n bytes.
func (a *Account) Release(n int64) {
	if !a.bounded() || n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.addLocked(a, -min(n, a.held))
}

// Resize makes the account hold n bytes and reports whether there is room. Without room it
// holds what it held before.
func (a *Account) Resize(n int64) bool {
	if !a.bounded() {
		return true
	}
	if grown := n - a.Held(); grown > 0 {
		return a.Reserve(grown)
	}
	a.Release(a.Held() - n)
	return true
}

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int64 {
	if !a.bounded() {
		return 0
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Close gives back all bytes.
func (a *Account) Close() {
	if !a.bounded() {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.evictable, a)
	if a.held > 0 {
		a.budget.addLocked(a, -a.held)
	}
}
