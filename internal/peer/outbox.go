package peer

import "sync"

// outboxLength bounds the notifications that wait for a slow peer.
const outboxLength = 8192

// posted is a notification that waits to be sent.
type posted struct {
	method string
	params any
}

// outbox holds the notifications of one connection. It grows with use, since a
// process has a connection to every peer and most are idle.
type outbox struct {
	// filled has a value when there may be something to take.
	filled chan struct{}

	mu      sync.Mutex
	waiting []posted
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1)}
}

// put adds p and reports whether there was room.
func (o *outbox) put(p posted) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= outboxLength {
		return false
	}
	o.waiting = append(o.waiting, p)
	select {
	case o.filled <- struct{}{}:
	default:
	}
	return true
}

// take removes everything in order.
func (o *outbox) take() []posted {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.waiting
	o.waiting = nil
	return out
}
