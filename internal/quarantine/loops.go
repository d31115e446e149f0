package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// pushLoop sends changes of this host to all peers as soon as they occur.
func (q *Quarantine) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-q.pushPending:
		case <-ctx.Done():
			return ctx.Err()
		}
		q.mu.Lock()
		entries, pushed := q.unsent, q.pushed
		q.unsent, q.pushed = nil, make(chan struct{})
		q.mu.Unlock()
		var g errgroup.Group
		g.SetLimit(maxConcurrentPushes)
		for _, address := range q.opts.Peers() {
			g.Go(func() error {
				q.exchange(ctx, address, entries)
				return nil
			})
		}
		_ = g.Wait()
		close(pushed)
	}
}

// exchangeLoop exchanges full tables with one random peer at a time, so that a
// host that was unreachable or is new catches up without the log.
func (q *Quarantine) exchangeLoop(ctx context.Context) error {
	for {
		if peers := q.opts.Peers(); len(peers) > 0 {
			q.mu.Lock()
			address := peers[q.rand.IntN(len(peers))]
			entries := q.table.All()
			q.mu.Unlock()
			q.exchange(ctx, address, entries)
		}
		if err := q.sleep(ctx, exchangeInterval); err != nil {
			return err
		}
	}
}

// exchange sends entries to a peer and merges the entries that it returns. Errors
// are ignored, because the peer also gets the entries from other hosts and the
// log.
func (q *Quarantine) exchange(ctx context.Context, address string, entries []peer.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply peer.Share
	if err := q.opts.Caller.Call(ctx, address, peer.MethodShare, peer.Share{Entries: entries}, &reply); err != nil {
		return
	}
	q.merge(reply.Entries)
}

// writeLoop appends changes of this host to the log. An append with an unknown
// outcome is retried, because merging is idempotent.
func (q *Quarantine) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-q.writePending:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			err := q.flush(ctx)
			if err == nil {
				break
			}
			event.LogUnreachable.Log(q.opts.Logger, zap.String("stream", ports.QuarantineStream), zap.Error(err))
			if err := q.sleep(ctx, logRetryDelay); err != nil {
				return err
			}
		}
	}
}

// flush appends the unwritten changes to the log as one record.
func (q *Quarantine) flush(ctx context.Context) error {
	q.mu.Lock()
	entries := q.unwritten
	q.mu.Unlock()
	if len(entries) == 0 {
		return nil
	}
	data, err := json.Marshal(peer.Share{Entries: entries})
	if err != nil {
		return fmt.Errorf("%d quarantine entries: %w", len(entries), err)
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := q.opts.Log.Append(ctx, ports.QuarantineStream, data); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unwritten = q.unwritten[len(entries):]
	return nil
}

// readLoop reads the log stream from its oldest record and follows it.
func (q *Quarantine) readLoop(ctx context.Context) error {
	from := ports.Offset(0)
	for ctx.Err() == nil {
		page, err := q.opts.Log.Read(ctx, ports.QuarantineStream, from, readPollTimeout)
		switch {
		case errors.Is(err, ports.ErrTruncated):
			from = page.First
		case err != nil:
			if err := q.sleep(ctx, logRetryDelay); err != nil {
				return err
			}
		default:
			for _, r := range page.Records {
				q.applyRecord(r)
			}
			from += ports.Offset(len(page.Records))
		}
	}
	return ctx.Err()
}

func (q *Quarantine) applyRecord(r ports.Record) {
	var s peer.Share
	if err := json.Unmarshal(r.Data, &s); err != nil {
		event.RecordIgnored.Log(q.opts.Logger, zap.String("stream", ports.QuarantineStream),
			zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	q.merge(s.Entries)
}

// expiryLoop removes expired entries.
func (q *Quarantine) expiryLoop(ctx context.Context) error {
	for {
		if err := q.sleep(ctx, expiryInterval); err != nil {
			return err
		}
		q.mu.Lock()
		expired := q.table.Tick(q.opts.Clock.Now())
		q.mu.Unlock()
		for _, e := range expired {
			event.QuarantineLifted.Log(q.opts.Logger, entryFields(e, "expiry")...)
		}
	}
}

func (q *Quarantine) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-q.opts.Clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func entryFields(e peer.QuarantineEntry, cause string) []zap.Field {
	return []zap.Field{
		zap.String("fingerprint", fmt.Sprintf("%016x", uint64(e.Fingerprint))),
		zap.String("customer", string(e.Customer)),
		zap.String("service", string(e.Service)),
		zap.Int("crashes", e.Crashes),
		zap.Time("expires", e.Expires),
		zap.String("cause", cause),
	}
}
