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

// Home answers for idempotency keys. Any host may be the home of any key at
// any time: the log decides who wins, a home only saves reads and appends.
type Home struct {
	opts      Options
	sequences claim.Sequences
	limiter   *rate.Limiter
	outcomes  *lru.Cache[outcomeID, peer.Outcome]

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	minted  *claim.Authority
	shards  map[int]*shard
	running sync.WaitGroup
}

type outcomeID struct {
	key     claim.Key
	request tables.RequestID
}

// NewHome returns a home that opens its shards on demand.
func NewHome(o Options) *Home {
	o = o.withDefaults()
	cache, err := lru.New[outcomeID, peer.Outcome](cachedOutcomes)
	if err != nil {
		panic(fmt.Sprintf("outcome cache of %d entries: %v", cachedOutcomes, err))
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		opts:     o,
		limiter:  rate.NewLimiter(rate.Limit(o.AppendsPerSecond/float64(o.Shards)), 1),
		outcomes: cache,
		ctx:      ctx,
		cancel:   cancel,
		minted:   claim.NewAuthority(o.Host, o.Incarnation, claim.Limits{Window: o.Window, Skew: o.Skew}),
		shards:   make(map[int]*shard),
	}
}

// Run serves until ctx ends; then it closes all shards. Call Flush before to
// keep outcomes that still wait for the log.
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

// Warm opens a shard ahead of its first use, for example when this host
// becomes its home.
func (h *Home) Warm(shard int) {
	if shard >= 0 && shard < h.opts.Shards {
		h.shard(shard)
	}
}

// Acquire asks for the right to dispatch a request under a key. Only Won gives
// that right, and it gives it once. A request that got any other answer, or
// none, must not be dispatched under this ID any more; its gate tells so by
// Record with a kind that means "not run" when the answer was lost. Refusals
// are in the result; the error is only that of ctx.
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
	ask := askOf(a, key)
	s := h.shard(key.Shard(h.opts.Shards))
	if s.isClosed() {
		s = h.shard(s.number)
	}
	if !h.awaitOpen(ctx, s) {
		return refusal(s.unopened()), ctx.Err()
	}
	answer, err := s.acquire(ctx, ask)
	if err != nil {
		return peer.AcquireResult{}, err
	}
	return h.result(ctx, key, answer), nil
}

func askOf(a peer.Acquire, key claim.Key) claim.AcquireRequest {
	return claim.AcquireRequest{
		Key:           key,
		Request:       a.Request,
		Fingerprint:   a.Fingerprint,
		Lifetime:      a.Lifetime,
		TargetsDigest: a.TargetsDigest,
	}
}

// Record writes the outcome of a request that holds a key, and returns when
// the log has it. After an error of kind ClaimsUnavailable or of ctx the
// outcome is still written later, unless the process ends before.
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

// Flush waits until nothing waits for the log any more, or ctx ends.
func (h *Home) Flush(ctx context.Context) error {
	for _, s := range h.open() {
		if err := s.flush(ctx); err != nil {
			return fmt.Errorf("flush of claim shard %d: %w", s.number, err)
		}
	}
	return nil
}

func (h *Home) open() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}
	return all
}

// shard returns the open shard of a number, and opens it when needed.
func (h *Home) shard(number int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.shards[number]; s != nil {
		return s
	}
	s := newShard(h, number)
	h.shards[number] = s
	h.shareBudget()
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

// remove forgets a shard that closes for disuse.
func (h *Home) remove(s *shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.shards, s.number)
	h.shareBudget()
}

// shareBudget takes the part of the open shards in the append budget of all
// hosts; h.mu is held.
func (h *Home) shareBudget() {
	open := max(1, len(h.shards))
	now := h.opts.Clock.Now()
	h.limiter.SetLimitAt(now, rate.Limit(h.opts.AppendsPerSecond*float64(open)/float64(h.opts.Shards)))
	h.limiter.SetBurstAt(now, open)
}

// awaitOpen waits a little for a shard to be read up to its end.
func (h *Home) awaitOpen(ctx context.Context, s *shard) bool {
	select {
	case <-s.opened:
		return true
	case <-s.closed:
		return false
	case <-ctx.Done():
		return false
	case <-h.opts.Clock.After(h.opts.OpenWait):
		return false
	}
}

// result turns an answer of the claim system into that of the protocol.
func (h *Home) result(ctx context.Context, key claim.Key, a claim.Result) peer.AcquireResult {
	r := decision(a)
	if a.Holder != nil && a.Holder.HasOutcome && a.Err == nil {
		o := h.outcome(ctx, key, *a.Holder)
		r.Outcome = &o
	}
	return r
}

// decision is a result without the recorded outcome of the holder.
func decision(a claim.Result) peer.AcquireResult {
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
