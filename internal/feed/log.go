package feed

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// sourceLog is the log of the dispatcher; what it reads of the configuration
// is kept for the other processes.
type sourceLog struct {
	ports.Log
	tail *tail
}

// Read returns records and keeps those of the configuration. Errors wrap
// ports.ErrTruncated or ports.ErrUnavailable.
func (l *sourceLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	if stream != ports.ConfigStream {
		return page, err
	}
	if err != nil {
		l.tail.fail()
		return page, err
	}
	l.tail.note(l.tail.clock.Now(), from, page)
	return page, nil
}

// clientLog is the log of a process that is fed.
type clientLog struct {
	ports.Log
	client *Client
}

// Read returns records. Those of the configuration come from the dispatcher
// while it is up to date, otherwise from the log. Errors wrap
// ports.ErrTruncated or ports.ErrUnavailable.
func (l *clientLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if stream != ports.ConfigStream {
		return l.Log.Read(ctx, stream, from, wait)
	}
	if page, ok := l.client.read(ctx, from, wait); ok {
		return page, nil
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if err == nil {
		l.client.tail.note(l.client.opts.Clock.Now(), from, page)
	}
	return page, err
}

// read waits for records from an offset on. It reports false as soon as the
// dispatcher cannot be relied on for them.
func (c *Client) read(ctx context.Context, from ports.Offset, wait time.Duration) (ports.Page, bool) {
	timer := c.opts.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, lost := c.tail.waiting(), c.lostFeed()
		page, ok := c.tail.page(from)
		if !ok || !c.logFed() {
			return ports.Page{}, false
		}
		if len(page.Records) > 0 {
			return page, true
		}
		select {
		case <-timer.Chan():
			return page, true
		case <-ctx.Done():
			return page, true
		case <-changed:
		case <-lost:
		}
	}
}
