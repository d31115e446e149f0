package feed

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// sourceList is the host list of the dispatcher; the last listing is kept for
// the other processes.
type sourceList struct {
	ports.HostList
	clock clockwork.Clock

	mu   sync.Mutex
	last ports.Listing
	// read is zero while the list cannot be read.
	read    time.Time
	changed chan struct{}
}

// List returns the current listing and keeps it. Errors wrap
// ports.ErrUnavailable.
func (l *sourceList) List(ctx context.Context) (ports.Listing, error) {
	asked := l.clock.Now()
	listing, err := l.HostList.List(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
	if err != nil {
		l.read = time.Time{}
		return listing, err
	}
	l.last, l.read = listing, asked
	return listing, nil
}

// waiting returns a channel that is closed after the next read.
func (l *sourceList) waiting() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// latest returns the last listing and the time of its read; zero while the list
// cannot be read.
func (l *sourceList) latest() (ports.Listing, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.read
}

// clientList is the host list of a process that is fed.
type clientList struct {
	ports.HostList
	client *Client
}

// List returns the dispatcher's listing while that is recent, otherwise the
// platform's. While that cannot be read the dispatcher's last one stays. Errors
// wrap ports.ErrUnavailable.
func (l *clientList) List(ctx context.Context) (ports.Listing, error) {
	listing, fresh := l.client.listing()
	if fresh {
		return *listing, nil
	}
	own, err := l.HostList.List(ctx)
	if err != nil && listing != nil {
		return *listing, nil
	}
	return own, err
}
