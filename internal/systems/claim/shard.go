package claim

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Bounds of one log record and of the work that waits for the log.
const (
	maxBatchEntries   = 512
	maxBatchBodyBytes = 256 << 10
	maxWaiting        = 8192
)

// minRetryAfter is the least advice with a refusal.
const minRetryAfter = time.Second

// firstPauseShare divides Pause for the first refusal; it doubles from there.
const firstPauseShare = 8

// Settings of a shard.
type Settings struct {
	Limits Limits
	// Host and Incarnation name the process that appends.
	Host        tables.HostID
	Incarnation int64
	// Grace is the wait for a record whose append has an unknown outcome to
	// show up in the stream, before its claims are released and made anew.
	Grace time.Duration
	// Pause is the longest time in which nothing new is sent to a log that
	// refused; the first pause is a part of it.
	Pause time.Duration
	// Stall is the time without a record read back after which asks for
	// free keys are refused at once.
	Stall time.Duration
	// OutcomeDelay is the time that outcomes wait for claims to go with.
	OutcomeDelay time.Duration
}

// Ask is a wish to hold a key.
type Ask struct {
	Key           Key
	Request       tables.RequestID
	Fingerprint   tables.Fingerprint
	Lifetime      time.Duration
	TargetsDigest uint64
	// Deadline is when the asker stops waiting.
	Deadline time.Time
}

// Answer ends an Ask or a Record.
type Answer struct {
	// Err has one of the kinds KeyExpired, KeyReused and ClaimsUnavailable.
	Err error
	// Won is set when the asking request holds the key.
	Won bool
	// Holder is set when another request holds the key.
	Holder *Holder
	// Freed is set with Err when the key was held when the claim met it and
	// has become free since; another request ID may claim it at once.
	Freed bool
}

// Ticket names an Ask or Record until it is settled.
type Ticket uint64

// Settled is the answer to a ticket.
type Settled struct {
	Ticket Ticket
	Answer Answer
}

// AppendResult is what is known of an append.
type AppendResult int

// The results of an append.
const (
	// Appended: the log has the record.
	Appended AppendResult = iota
	// Refused: the log does not have the record and never will.
	Refused
	// Unknown: the log may have the record, now or later.
	Unknown
)

// Sequences numbers the attempts and batches of one process. The shards of a
// process share one, so that a shard that is closed and opened again never
// uses a number twice.
type Sequences struct {
	last atomic.Uint64
}

func (s *Sequences) next() uint64 {
	return s.last.Add(1)
}

// item is an entry on its way into the stream; one of claim, release and
// outcome is set.
type item struct {
	claim   *Claim
	release *Release
	outcome *Outcome
	ticket  Ticket
	queued  time.Time
}

// sentBatch is a batch that has not been read back.
type sentBatch struct {
	items []item
	// unknownSince is set when the append has an unknown outcome.
	unknownSince time.Time
}

// Shard is one claim stream as seen by one host: the table and the entries
// that the host is adding to it. It does no I/O; its owner carries batches to
// the log and records from it.
type Shard struct {
	settings  Settings
	sequences *Sequences
	table     *Table
	asks      map[Ticket]Ask
	waiting   []item
	sent      map[uint64]*sentBatch
	// inFlight is the number of the batch being appended; zero for none.
	inFlight uint64
	// unread is since when sent batches wait for the first to be read back.
	unread    time.Time
	downUntil time.Time
	refusals  int
	undecided []item
	settled   []Settled
}

// NewShard returns a shard that has read nothing yet. Its owner must feed it
// the whole stream before the first Acquire.
func NewShard(settings Settings, sequences *Sequences) *Shard {
	return &Shard{
		settings:  settings,
		sequences: sequences,
		table:     NewTable(settings.Limits),
		asks:      make(map[Ticket]Ask),
		sent:      make(map[uint64]*sentBatch),
	}
}

// Table returns the fold of the records read so far.
func (s *Shard) Table() *Table { return s.table }

// Idle reports whether nothing is on its way into the stream.
func (s *Shard) Idle() bool {
	return len(s.asks) == 0 && len(s.waiting) == 0 && len(s.sent) == 0
}

// Acquire asks for a key. The answer comes with the ticket from Take.
func (s *Shard) Acquire(now time.Time, ask Ask) Ticket {
	t := Ticket(s.sequences.next())
	if err := s.table.Check(now, ask.Key, ask.Lifetime); err != nil {
		s.settle(t, Answer{Err: err})
		return t
	}
	if h, held := s.table.Holder(ask.Key); held {
		s.settle(t, s.lost(ask, h))
		return t
	}
	if now.Before(s.downUntil) || s.stalled(now) || len(s.waiting) >= maxWaiting {
		s.settle(t, s.unavailable(now, "the log accepts no claims"))
		return t
	}
	s.asks[t] = ask
	s.queueClaim(now, t, ask)
	return t
}

// Record queues the outcome of a request for the stream. It stays queued
// through an outage of the log. The ticket is settled when the record has been
// read back.
func (s *Shard) Record(now time.Time, o Outcome) Ticket {
	t := Ticket(s.sequences.next())
	if len(s.waiting) >= maxWaiting {
		s.settle(t, s.unavailable(now, "too many outcomes wait for the log"))
		return t
	}
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.BodyKept = nil, false
	}
	s.waiting = append(s.waiting, item{outcome: &o, ticket: t, queued: now})
	return t
}

// Abandon ends the wait for a ticket. The claim of an abandoned Ask is never
// granted: it is dropped before it is sent or released after.
func (s *Shard) Abandon(now time.Time, t Ticket) {
	ask, ok := s.asks[t]
	if !ok {
		return
	}
	delete(s.asks, t)
	for i, it := range s.waiting {
		if it.ticket == t && it.claim != nil {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	for _, b := range s.sent {
		for _, it := range b.items {
			if it.ticket == t && it.claim != nil {
				s.queueRelease(now, ask.Key, it.claim.Sequence)
			}
		}
	}
}

// Take returns the tickets that were settled since the last call.
func (s *Shard) Take() []Settled {
	out := s.settled
	s.settled = nil
	return out
}

func (s *Shard) settle(t Ticket, a Answer) {
	delete(s.asks, t)
	s.settled = append(s.settled, Settled{t, a})
}

// lost is the answer to an ask that meets a held key.
func (s *Shard) lost(ask Ask, h Holder) Answer {
	if h.Fingerprint != ask.Fingerprint {
		detail := fmt.Sprintf("key %s was used by request %s with another body", ask.Key.ID, h.Request)
		return Answer{Err: errkind.New(errkind.KeyReused, detail), Holder: &h}
	}
	return Answer{Holder: &h}
}

// unavailable is a refusal with the advice to send again after the pause.
func (s *Shard) unavailable(now time.Time, detail string) Answer {
	return Answer{Err: trace.Wrap(&errkind.Error{
		Kind:       errkind.ClaimsUnavailable,
		Detail:     detail,
		RetryAfter: max(s.downUntil.Sub(now), minRetryAfter),
	})}
}

func (s *Shard) stalled(now time.Time) bool {
	return !s.unread.IsZero() && now.Sub(s.unread) >= s.settings.Stall
}

func (s *Shard) queueClaim(now time.Time, t Ticket, ask Ask) {
	c := &Claim{
		Key:           ask.Key,
		Request:       ask.Request,
		Fingerprint:   ask.Fingerprint,
		Sequence:      s.sequences.next(),
		TargetsDigest: ask.TargetsDigest,
	}
	s.waiting = append(s.waiting, item{claim: c, ticket: t, queued: now})
}

func (s *Shard) queueRelease(now time.Time, k Key, sequence uint64) {
	r := &Release{Key: k, Sequence: sequence}
	s.waiting = append(s.waiting, item{release: r, queued: now})
}
