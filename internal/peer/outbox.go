package peer

import "sync"

// maxQueuedNotifications limits the notifications queued for a slow peer.
const maxQueuedNotifications = 8192

// notification is a queued notification.
type notification struct {
	method string
	params any
}

// outbox is the queue of notifications of one connection. It allocates memory only as
// needed, because a process has a connection to every peer and most are idle. It is
// safe for concurrent use.
type outbox struct {
	// available contains a value whenever notifications may be queued.
	available chan struct{}

	mu     sync.Mutex
	queued []notification
}

func newOutbox() *outbox {
	return &outbox{available: make(chan struct{}, 1)}
}

// put queues n and returns false if the queue is full.
func (o *outbox) put(n notification) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queued) >= maxQueuedNotifications {
		return false
	}
	o.queued = append(o.queued, n)
	select {
	case o.available <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all queued notifications in order.
func (o *outbox) take() []notification {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.queued
	o.queued = nil
	return out
}
