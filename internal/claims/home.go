package claims

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Home decides claims of idempotency keys on one host. Any host may act as the
// home of any key at any time: the log decides which request holds a key, and
// using a single home only saves reads and appends. It is safe for concurrent
// use.
type Home struct {
	opts          Options
	sequences     claim.Sequences
	appendLimiter *rate.Limiter
	outcomes      *lru.Cache[outcomeID, peer.Outcome]

	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	authority *claim.Authority
	shards    map[int]*shard
	running   sync.WaitGroup
}

type outcomeID struct {
	key     claim.Key
	request tables.RequestID
}

// NewHome returns a home that opens its shards on demand.
func NewHome(o Options) *Home {
	o = o.withDefaults()
	cache, err := lru.New[outcomeID, peer.Outcome](maxCachedOutcomes)
	if err != nil {
		panic(fmt.Sprintf("outcome cache of %d entries: %v", maxCachedOutcomes, err))
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		opts:          o,
		appendLimiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond/float64(o.Shards)), 1),
		outcomes:      cache,
		ctx:           ctx,
		cancel:        cancel,
		authority:     claim.NewAuthority(o.Host, o.Incarnation, claim.Limits{Window: o.Window, Skew: o.Skew}),
		shards:        make(map[int]*shard),
	}
}

// Run blocks until ctx ends and then closes all shards. Call Flush first to write
// the outcomes that are still queued for the log.
func (h *Home) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	h.mu.Lock()
	h.cancel()
	h.mu.Unlock()
	h.running.Wait()
}

// ShardOf returns the shard of a key; see claim.ShardOf.
func (h *Home) ShardOf(customer tables.CustomerID, service tables.ServiceID, key string) int {
	return claim.ShardOf(customer, service, key, h.opts.Shards)
}

// OpenShard opens a shard before its first use, for example when this host becomes
// its home.
func (h *Home) OpenShard(shard int) {
	if shard >= 0 && shard < h.opts.Shards {
		h.shard(shard)
	}
}

// Acquire claims a key for a request. Only a result with Won set permits a
// dispatch, and a request gets it at most once. A request that got another
// result, or none, must not be dispatched under its ID. If the response is lost,
// the gate reports the request as not run by calling Record. Refusals are returned
// in the result; the error is only the error of ctx.
func (h *Home) Acquire(ctx context.Context, a peer.Acquire) (peer.AcquireResult, error) {
	if _, err := a.Request.Home(); err != nil {
		return refusal(errkind.Wrap(err, errkind.MalformedRequest, "claim without a request ID")), nil
	}
	if claim.IsMinted(a.Key) {
		return h.acquireMinted(a), nil
	}
	key, err := claim.ParseKey(a.Customer, a.Service, a.Key)
	if err != nil {
		return refusal(err), nil
	}
	req := toAcquireRequest(a, key)
	s := h.shard(key.Shard(h.opts.Shards))
	if s.isClosed() {
		s = h.shard(s.number)
	}
	if !h.awaitLoaded(ctx, s) {
		return refusal(s.notLoadedError()), ctx.Err()
	}
	result, err := s.acquire(ctx, req)
	if err != nil {
		return peer.AcquireResult{}, err
	}
	return h.toAcquireResult(ctx, key, result), nil
}

func toAcquireRequest(a peer.Acquire, key claim.Key) claim.AcquireRequest {
	return claim.AcquireRequest{
		Key:           key,
		Request:       a.Request,
		Fingerprint:   a.Fingerprint,
		Lifetime:      a.Lifetime,
		TargetsDigest: a.TargetsDigest,
	}
}

// Record writes the outcome of the request that holds a key and returns once the
// outcome has been read back from the log. If ctx ends while the outcome is queued
// for the log, the outcome is still written later, unless the process ends first.
// After an error of kind ClaimsUnavailable, the outcome may never be written. The
// outcome for a minted key is stored only in this process.
func (h *Home) Record(ctx context.Context, r peer.Record) error {
	if _, err := r.Outcome.ID.Home(); err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, "outcome without a request ID")
	}
	if r.Outcome.Kind != errkind.None && !r.Outcome.Kind.Valid() {
		return errkind.New(errkind.MalformedRequest, fmt.Sprintf("outcome of unknown kind %q", r.Outcome.Kind))
	}
	if claim.IsMinted(r.Key) {
		return h.recordMinted(r)
	}
	key, err := claim.ParseKey(r.Customer, r.Service, r.Key)
	if err != nil {
		return err
	}
	if err := h.shard(key.Shard(h.opts.Shards)).record(ctx, toRecord(key, r.Outcome)); err != nil {
		return err
	}
	h.outcomes.Add(outcomeID{key, r.Outcome.ID}, r.Outcome)
	return nil
}

// Flush waits until all queued claims and outcomes have been written and read
// back, or until ctx ends.
func (h *Home) Flush(ctx context.Context) error {
	for _, s := range h.openShards() {
		if err := s.flush(ctx); err != nil {
			return fmt.Errorf("flush of claim shard %d: %w", s.number, err)
		}
	}
	return nil
}

func (h *Home) openShards() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}
	return all
}

// shard returns the shard with the given number and opens it if necessary.
func (h *Home) shard(number int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.shards[number]; s != nil {
		return s
	}
	s := newShard(h, number)
	h.shards[number] = s
	h.updateAppendRate()
	if h.ctx.Err() != nil {
		close(s.closed)
		return s
	}
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		s.run(h.ctx)
	}()
	return s
}

// remove removes a shard that closes because it is idle.
func (h *Home) remove(s *shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.shards, s.number)
	h.updateAppendRate()
}

// updateAppendRate sets the append rate of this host to its share of the
// cluster's rate, in proportion to its open shards. The caller must hold h.mu.
func (h *Home) updateAppendRate() {
	open := max(1, len(h.shards))
	now := h.opts.Clock.Now()
	h.appendLimiter.SetLimitAt(now, rate.Limit(h.opts.AppendsPerSecond*float64(open)/float64(h.opts.Shards)))
	h.appendLimiter.SetBurstAt(now, open)
}

// awaitLoaded waits up to LoadTimeout for a shard to be loaded.
func (h *Home) awaitLoaded(ctx context.Context, s *shard) bool {
	select {
	case <-s.loaded:
		return true
	case <-s.closed:
		return false
	case <-ctx.Done():
		return false
	case <-h.opts.Clock.After(h.opts.LoadTimeout):
		return false
	}
}

// toAcquireResult converts a claim result to the peer protocol and adds the
// recorded outcome of the holder.
func (h *Home) toAcquireResult(ctx context.Context, key claim.Key, a claim.Result) peer.AcquireResult {
	r := resultWithoutOutcome(a)
	if a.Holder != nil && a.Holder.HasOutcome && a.Err == nil {
		o := h.recordedOutcome(ctx, key, *a.Holder)
		r.Outcome = &o
	}
	return r
}

// resultWithoutOutcome converts a claim result to the peer protocol without the
// recorded outcome of the holder.
func resultWithoutOutcome(a claim.Result) peer.AcquireResult {
	r := refusal(a.Err)
	r.Won = a.Won
	r.Freed = a.Freed
	if a.Holder != nil {
		r.Holder = a.Holder.Request
		r.TargetsDigest = a.Holder.TargetsDigest
		r.HeldSince = a.Holder.Since
	}
	return r
}

func refusal(err error) peer.AcquireResult {
	if err == nil {
		return peer.AcquireResult{}
	}
	return peer.AcquireResult{
		Kind:       errkind.Of(err),
		Detail:     errkind.DetailOf(err),
		RetryAfter: errkind.RetryAfterOf(err),
	}
}

func streamOf(shard int) string {
	return ports.ClaimStreamPrefix + strconv.Itoa(shard)
}
