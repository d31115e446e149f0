package feed

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// sourceList is the host list that the dispatcher reads. It keeps the last
// listing for the other processes of the host.
type sourceList struct {
	ports.HostList
	clock clockwork.Clock

	mu   sync.Mutex
	last ports.Listing
	// readAt is the start time of the last read; zero before the first read and
	// when the last read failed.
	readAt  time.Time
	changed chan struct{}
}

// List reads the platform's host list and keeps the listing. Errors wrap
// ports.ErrUnavailable.
func (l *sourceList) List(ctx context.Context) (ports.Listing, error) {
	startedAt := l.clock.Now()
	listing, err := l.HostList.List(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
	if err != nil {
		l.readAt = time.Time{}
		return listing, err
	}
	l.last, l.readAt = listing, startedAt
	return listing, nil
}

// nextRead returns a channel that is closed after the next read, also a failed
// one.
func (l *sourceList) nextRead() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// latest returns the last listing and the start time of its read. The time is
// zero before the first read and when the last read failed.
func (l *sourceList) latest() (ports.Listing, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.readAt
}

// clientList is the host list of a process that receives the feed.
type clientList struct {
	ports.HostList
	client *Client
}

// List returns the dispatcher's listing while it is fresh, otherwise the
// platform's. If reading the platform's list fails, it returns the dispatcher's
// last listing, if any. Errors wrap ports.ErrUnavailable.
func (l *clientList) List(ctx context.Context) (ports.Listing, error) {
	listing, isFresh := l.client.listing()
	if isFresh {
		return *listing, nil
	}
	platformListing, err := l.HostList.List(ctx)
	if err != nil && listing != nil {
		return *listing, nil
	}
	return platformListing, err
}
