package feed

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// sourceLog is the log that the dispatcher reads. It buffers the records of the
// configuration stream for the other processes of the host.
type sourceLog struct {
	ports.Log
	tail *tail
}

// Read reads records from the log and buffers those of the configuration
// stream. Errors wrap ports.ErrTruncated or ports.ErrUnavailable.
func (l *sourceLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	if stream != ports.ConfigStream {
		return page, err
	}
	if err != nil {
		l.tail.markUnreadable()
		return page, err
	}
	l.tail.add(l.tail.clock.Now(), from, page)
	return page, nil
}

// clientLog is the log of a process that receives the feed.
type clientLog struct {
	ports.Log
	client *Client
}

// Read returns records of a stream. Records of the configuration stream come
// from this process's buffer while they are in it and both the feed and the
// dispatcher's last read of the stream are fresh. Otherwise Read reads from the
// log. Errors wrap ports.ErrTruncated or ports.ErrUnavailable.
func (l *clientLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if stream != ports.ConfigStream {
		return l.Log.Read(ctx, stream, from, wait)
	}
	if page, ok := l.client.readTail(ctx, from, wait); ok {
		return page, nil
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if err == nil {
		l.client.tail.add(l.client.opts.Clock.Now(), from, page)
	}
	return page, err
}

// readTail waits up to wait for buffered configuration records from the offset
// on. It reports false when the offset is not buffered, or when the feed or the
// dispatcher's last read of the stream is not fresh.
func (c *Client) readTail(ctx context.Context, from ports.Offset, wait time.Duration) (ports.Page, bool) {
	timer := c.opts.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, lost := c.tail.nextChange(), c.feedLost()
		page, ok := c.tail.page(from)
		if !ok || !c.logFresh() {
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
