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

// pushLoop tells every peer of own changes at once.
func (q *Quarantine) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-q.told:
		case <-ctx.Done():
			return ctx.Err()
		}
		q.mu.Lock()
		entries, pushed := q.unsent, q.pushed
		q.unsent, q.pushed = nil, make(chan struct{})
		q.mu.Unlock()
		var g errgroup.Group
		g.SetLimit(pushesAtOnce)
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

// exchangeLoop swaps whole tables with one peer at a time, so that a host that
// was out of reach, or is new, catches up without the log.
func (q *Quarantine) exchangeLoop(ctx context.Context) error {
	for {
		if peers := q.opts.Peers(); len(peers) > 0 {
			q.mu.Lock()
			address := peers[q.rand.IntN(len(peers))]
			entries := q.table.All()
			q.mu.Unlock()
			q.exchange(ctx, address, entries)
		}
		if err := q.sleep(ctx, exchangeEvery); err != nil {
			return err
		}
	}
}

// exchange sends entries to a peer and takes in its own. A peer that does not
// answer gets them from another host or the log.
func (q *Quarantine) exchange(ctx context.Context, address string, entries []peer.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var theirs peer.Share
	if err := q.opts.Caller.Call(ctx, address, peer.MethodShare, peer.Share{Entries: entries}, &theirs); err != nil {
		return
	}
	q.merge(theirs.Entries)
}

// writeLoop appends own changes to the log. Merging is idempotent, so an
// append with a lost answer is repeated.
func (q *Quarantine) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-q.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			err := q.write(ctx)
			if err == nil {
				break
			}
			event.LogUnreachable.Log(q.opts.Logger, zap.String("stream", ports.QuarantineStream), zap.Error(err))
			if err := q.sleep(ctx, logRetry); err != nil {
				return err
			}
		}
	}
}

func (q *Quarantine) write(ctx context.Context) error {
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

// readLoop follows the log's stream from its oldest record.
func (q *Quarantine) readLoop(ctx context.Context) error {
	from := ports.Offset(0)
	for ctx.Err() == nil {
		page, err := q.opts.Log.Read(ctx, ports.QuarantineStream, from, readWait)
		switch {
		case errors.Is(err, ports.ErrTruncated):
			from = page.First
		case err != nil:
			if err := q.sleep(ctx, logRetry); err != nil {
				return err
			}
		default:
			for _, r := range page.Records {
				q.fold(r)
			}
			from += ports.Offset(len(page.Records))
		}
	}
	return ctx.Err()
}

func (q *Quarantine) fold(r ports.Record) {
	var s peer.Share
	if err := json.Unmarshal(r.Data, &s); err != nil {
		event.RecordIgnored.Log(q.opts.Logger, zap.String("stream", ports.QuarantineStream),
			zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	q.merge(s.Entries)
}

func (q *Quarantine) expiryLoop(ctx context.Context) error {
	for {
		if err := q.sleep(ctx, expiryTick); err != nil {
			return err
		}
		q.mu.Lock()
		lifted := q.table.Tick(q.opts.Clock.Now())
		q.mu.Unlock()
		for _, e := range lifted {
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
