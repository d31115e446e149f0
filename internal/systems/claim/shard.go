package claim

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Limits on one log record and on the queue of entries waiting to be appended.
const (
	maxBatchEntries   = 512
	maxBatchBodyBytes = 256 << 10
	maxQueued         = 8192
)

// minRetryAfter is the minimum retry delay returned with a refusal.
const minRetryAfter = time.Second

// initialBackoffDivisor divides the maximum backoff to get the backoff after the
// first refusal. Each further consecutive refusal doubles the backoff, up to the
// maximum.
const initialBackoffDivisor = 8

// Settings configure a Shard.
type Settings struct {
	Limits Limits
	// Host and Incarnation identify the process that appends.
	Host        tables.HostID
	Incarnation int64
	// After an append with the result Unknown, the shard waits AppendGrace for the
	// record to appear in the stream. Then it queues the outcomes and releases of the
	// batch again. Claims whose calls of Acquire are still pending are released and
	// queued as new attempts; the other claims are dropped.
	AppendGrace time.Duration
	// MaxBackoff is the maximum backoff after the log refused a call. Nothing is
	// appended during a backoff.
	MaxBackoff time.Duration
	// StallTimeout is how long an appended batch may stay unread before requests for
	// free keys are refused immediately.
	StallTimeout time.Duration
	// OutcomeDelay is how long an outcome waits to share a batch with claims.
	OutcomeDelay time.Duration
}

// AcquireRequest holds the parameters of Acquire.
type AcquireRequest struct {
	Key         Key
	Request     tables.RequestID
	Fingerprint tables.Fingerprint
	// Lifetime limits the age of the key. If Lifetime is not positive or exceeds
	// Limits.Window, the window limits the age.
	Lifetime      time.Duration
	TargetsDigest uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Result states how a call of Acquire or Record ended.
type Result struct {
	// Err is nil or of kind KeyExpired, KeyReused or ClaimsUnavailable.
	Err error
	// Won is set if the request acquired the key.
	Won bool
	// Holder is the current holder of a key that was not acquired because it
	// is held.
	Holder *Holder
	// Freed is set with Err if the key was held when the claim was applied but
	// has become free since. A request with a new ID may claim it immediately.
	Freed bool
}

// Ticket identifies a pending call of Acquire or Record until it completes.
type Ticket uint64

// Completion is the result of a completed ticket.
type Completion struct {
	Ticket Ticket
	Result Result
}

// AppendResult states whether an append reached the log.
type AppendResult int

// The results of an append.
const (
	// Appended: the log has the record.
	Appended AppendResult = iota
	// Refused: the log does not have the record and will not get it.
	Refused
	// Unknown: the log may have the record or may get it later.
	Unknown
)

// Sequences generates the sequence numbers of a process for tickets, attempts
// and batches. All shards of a process share one, so that a shard that is closed
// and reopened does not reuse a number.
type Sequences struct {
	last atomic.Uint64
}

func (s *Sequences) next() uint64 {
	return s.last.Add(1)
}

// item is an entry that has not been read back from the stream. Exactly one of
// claim, release and outcome is set.
type item struct {
	claim    *Claim
	release  *Release
	outcome  *Outcome
	ticket   Ticket
	queuedAt time.Time
}

// sentBatch is a batch that was sent to the log and not yet read back.
type sentBatch struct {
	items []item
	// unknownSince is when the append ended with the result Unknown; otherwise it
	// is zero.
	unknownSince time.Time
}

// Shard holds the state of one claim stream on one host: the table and the
// entries that the host is adding to the stream. It does no I/O; the caller
// appends its batches to the log and passes it the records that were read. It is
// not safe for concurrent use.
type Shard struct {
	settings  Settings
	sequences *Sequences
	table     *Table
	pending   map[Ticket]AcquireRequest
	queue     []item
	sent      map[uint64]*sentBatch
	// inFlight is the number of the batch being appended; zero if there is none.
	inFlight uint64
	// unreadSince is when this shard sent the first of its batches that are not
	// read back, or last read one back while others were unread. Requeuing a batch
	// does not change unreadSince. Once the last unread batch is read back or
	// refused, or given up with no entry left, unreadSince is zero until the next
	// batch is sent.
	unreadSince         time.Time
	backoffUntil        time.Time
	consecutiveRefusals int
	// undecided holds the claims that were read back since the last Decide.
	undecided []item
	completed []Completion
}

// NewShard returns a shard with an empty table. The caller must pass all retained
// records of the stream to ReadRecord before the first Acquire.
func NewShard(settings Settings, sequences *Sequences) *Shard {
	return &Shard{
		settings:  settings,
		sequences: sequences,
		table:     NewTable(settings.Limits),
		pending:   make(map[Ticket]AcquireRequest),
		sent:      make(map[uint64]*sentBatch),
	}
}

// Table returns the table built from the records read so far. Reset replaces it.
func (s *Shard) Table() *Table { return s.table }

// Idle reports whether no call is pending and no entry is queued or unread.
func (s *Shard) Idle() bool {
	return len(s.pending) == 0 && len(s.queue) == 0 && len(s.sent) == 0
}

// Acquire starts the acquisition of a key. TakeCompleted returns the result with
// the same ticket; the result may be ready as soon as Acquire returns.
func (s *Shard) Acquire(now time.Time, req AcquireRequest) Ticket {
	t := Ticket(s.sequences.next())
	if err := s.table.Check(now, req.Key, req.Lifetime); err != nil {
		s.complete(t, Result{Err: err})
		return t
	}
	if h, held := s.table.Holder(req.Key); held {
		s.complete(t, s.heldResult(req, h))
		return t
	}
	if now.Before(s.backoffUntil) || s.stalled(now) || len(s.queue) >= maxQueued {
		s.complete(t, s.unavailable(now, "the log accepts no claims"))
		return t
	}
	s.pending[t] = req
	s.queueClaim(now, t, req)
	return t
}

// Record queues the outcome of a request for the stream. The outcome stays
// queued during an outage of the log. The ticket completes when the record has
// been read back. If the queue is full, the outcome is dropped and the ticket
// completes immediately with an error of kind ClaimsUnavailable.
func (s *Shard) Record(now time.Time, o Outcome) Ticket {
	t := Ticket(s.sequences.next())
	if len(s.queue) >= maxQueued {
		s.complete(t, s.unavailable(now, "too many outcomes wait for the log"))
		return t
	}
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.BodyKept = nil, false
	}
	s.queue = append(s.queue, item{outcome: &o, ticket: t, queuedAt: now})
	return t
}

// Abandon cancels a pending Acquire; its ticket does not complete, so the key is
// never granted to the call. A queued claim is removed from the queue. A claim
// that was sent and not read back is released.
func (s *Shard) Abandon(now time.Time, t Ticket) {
	req, ok := s.pending[t]
	if !ok {
		return
	}
	delete(s.pending, t)
	for i, it := range s.queue {
		if it.ticket == t && it.claim != nil {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
	for _, b := range s.sent {
		for _, it := range b.items {
			if it.ticket == t && it.claim != nil {
				s.queueRelease(now, req.Key, it.claim.Sequence)
			}
		}
	}
}

// TakeCompleted returns the tickets that completed since the last call.
func (s *Shard) TakeCompleted() []Completion {
	out := s.completed
	s.completed = nil
	return out
}

func (s *Shard) complete(t Ticket, result Result) {
	delete(s.pending, t)
	s.completed = append(s.completed, Completion{t, result})
}

// heldResult returns the result for a key that is already held.
func (s *Shard) heldResult(req AcquireRequest, h Holder) Result {
	if h.Fingerprint != req.Fingerprint {
		detail := fmt.Sprintf("key %s was used by request %s with another body", req.Key.ID, h.Request)
		return Result{Err: errkind.New(errkind.KeyReused, detail), Holder: &h}
	}
	return Result{Holder: &h}
}

// unavailable returns a refusal whose RetryAfter covers the rest of the backoff.
func (s *Shard) unavailable(now time.Time, detail string) Result {
	return Result{Err: trace.Wrap(&errkind.Error{
		Kind:       errkind.ClaimsUnavailable,
		Detail:     detail,
		RetryAfter: max(s.backoffUntil.Sub(now), minRetryAfter),
	})}
}

func (s *Shard) stalled(now time.Time) bool {
	return !s.unreadSince.IsZero() && now.Sub(s.unreadSince) >= s.settings.StallTimeout
}

func (s *Shard) queueClaim(now time.Time, t Ticket, req AcquireRequest) {
	c := &Claim{
		Key:           req.Key,
		Request:       req.Request,
		Fingerprint:   req.Fingerprint,
		Sequence:      s.sequences.next(),
		TargetsDigest: req.TargetsDigest,
	}
	s.queue = append(s.queue, item{claim: c, ticket: t, queuedAt: now})
}

func (s *Shard) queueRelease(now time.Time, k Key, sequence uint64) {
	r := &Release{Key: k, Sequence: sequence}
	s.queue = append(s.queue, item{release: r, queuedAt: now})
}
