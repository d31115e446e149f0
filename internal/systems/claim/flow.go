package claim

import (
	"time"
)

// NextBatch returns the next batch to append, if one is due. The caller reports
// the end of the append with AppendDone. At most one append is in flight, so
// batches grow with the latency of the log.
func (s *Shard) NextBatch(now time.Time) (Batch, bool) {
	if !s.Due(now) {
		return Batch{}, false
	}
	items := s.dequeueBatch()
	b := Batch{Writer: s.settings.Host, Incarnation: s.settings.Incarnation, Number: s.sequences.next()}
	for _, it := range items {
		switch {
		case it.release != nil:
			b.Releases = append(b.Releases, *it.release)
		case it.claim != nil:
			b.Claims = append(b.Claims, *it.claim)
		default:
			b.Outcomes = append(b.Outcomes, *it.outcome)
		}
	}
	s.sent[b.Number] = &sentBatch{items: items}
	s.inFlight = b.Number
	if s.unreadSince.IsZero() {
		s.unreadSince = now
	}
	return b, true
}

// Due reports whether NextBatch returns a batch at now.
func (s *Shard) Due(now time.Time) bool {
	at, ok := s.NextDue()
	return ok && !now.Before(at)
}

// NextDue returns when the next batch is due; ok is false if the queue is empty
// or an append is in flight.
func (s *Shard) NextDue() (at time.Time, ok bool) {
	if s.inFlight != 0 {
		return time.Time{}, false
	}
	for _, it := range s.queue {
		due := it.queuedAt
		if it.outcome != nil {
			due = due.Add(s.settings.OutcomeDelay)
		}
		if !ok || due.Before(at) {
			at, ok = due, true
		}
	}
	if at.Before(s.backoffUntil) {
		at = s.backoffUntil
	}
	return at, ok
}

// dequeueBatch removes the entries of one batch from the queue. Releases come
// first, because a claim that replaces a released attempt may be in the same
// batch.
func (s *Shard) dequeueBatch() []item {
	var batch, rest []item
	bodyBytes := 0
	for _, matches := range []func(item) bool{isRelease, isClaim, isOutcome} {
		for _, it := range s.queue {
			if !matches(it) {
				continue
			}
			if len(batch) == maxBatchEntries || bodyBytes > maxBatchBodyBytes {
				rest = append(rest, it)
				continue
			}
			batch = append(batch, it)
			if it.outcome != nil {
				bodyBytes += len(it.outcome.Body)
			}
		}
	}
	s.queue = rest
	return batch
}

func isRelease(it item) bool { return it.release != nil }
func isClaim(it item) bool   { return it.claim != nil }
func isOutcome(it item) bool { return it.outcome != nil }

// AppendDone records the result of the append of a batch.
func (s *Shard) AppendDone(now time.Time, number uint64, r AppendResult) {
	if s.inFlight == number {
		s.inFlight = 0
	}
	b, ok := s.sent[number]
	if !ok {
		return
	}
	switch r {
	case Appended:
		s.consecutiveRefusals = 0
	case Refused:
		delete(s.sent, number)
		s.MarkLogDown(now)
		s.handleRefused(now, b)
		if len(s.sent) == 0 {
			s.unreadSince = time.Time{}
		}
	case Unknown:
		b.unknownSince = now
	}
}

// handleRefused fails the claims of a batch that the log refused and requeues its
// other entries.
func (s *Shard) handleRefused(now time.Time, b *sentBatch) {
	for _, it := range b.items {
		if it.claim == nil {
			s.queue = append(s.queue, it)
			continue
		}
		if _, pending := s.pending[it.ticket]; pending {
			s.complete(it.ticket, s.unavailable(now, "the log refused the claim"))
		}
	}
}

// MarkLogDown records that the log refused a call or is unreachable, and starts a
// backoff. During the backoff nothing is appended and requests for free keys are
// refused immediately. Calls of Acquire whose claims are still queued fail.
func (s *Shard) MarkLogDown(now time.Time) {
	s.backoffUntil = now.Add(s.nextBackoff())
	for t := range s.pending {
		if s.claimQueued(t) {
			s.complete(t, s.unavailable(now, "the log cannot be reached"))
		}
	}
	s.dropCompletedClaims()
}

// nextBackoff returns the next backoff, which doubles with every consecutive
// refusal up to the configured maximum.
func (s *Shard) nextBackoff() time.Duration {
	backoff := s.settings.MaxBackoff / initialBackoffDivisor << min(s.consecutiveRefusals, initialBackoffDivisor)
	s.consecutiveRefusals++
	return min(backoff, s.settings.MaxBackoff)
}

// BackingOff reports whether a backoff is in effect, so that nothing is appended.
func (s *Shard) BackingOff(now time.Time) bool {
	return now.Before(s.backoffUntil)
}

// claimQueued reports whether the claim of t is still in the queue.
func (s *Shard) claimQueued(t Ticket) bool {
	for _, it := range s.queue {
		if it.ticket == t && it.claim != nil {
			return true
		}
	}
	return false
}

// dropCompletedClaims removes the claims of completed tickets from the queue.
func (s *Shard) dropCompletedClaims() {
	kept := s.queue[:0]
	for _, it := range s.queue {
		_, pending := s.pending[it.ticket]
		if it.claim == nil || pending {
			kept = append(kept, it)
		}
	}
	s.queue = kept
}

// ReadRecord applies one record of the stream; logTime is the log's time of the
// record. If this Shard sent the batch and had not read it back, the next Decide
// determines the results of its claims. The caller calls Decide once it has
// applied all available records.
func (s *Shard) ReadRecord(now time.Time, offset int64, logTime time.Time, b Batch) {
	s.table.Apply(now, offset, logTime, b)
	if b.Writer != s.settings.Host || b.Incarnation != s.settings.Incarnation {
		return
	}
	sent, ok := s.sent[b.Number]
	if !ok {
		return
	}
	delete(s.sent, b.Number)
	s.unreadSince = time.Time{}
	if len(s.sent) > 0 {
		s.unreadSince = now
	}
	for _, it := range sent.items {
		switch {
		case it.claim != nil:
			s.undecided = append(s.undecided, it)
		case it.outcome != nil:
			s.complete(it.ticket, Result{})
		}
	}
}

// Decide completes the tickets whose claims were read back since the last call.
func (s *Shard) Decide(now time.Time) {
	for _, it := range s.undecided {
		s.decide(now, it)
	}
	s.undecided = nil
}

// decide completes the ticket of a claim that was read back, unless it has
// completed already.
func (s *Shard) decide(now time.Time, it item) {
	req, pending := s.pending[it.ticket]
	if !pending {
		return
	}
	c := it.claim
	if err := s.table.Check(now, c.Key, req.Lifetime); err != nil {
		s.queueRelease(now, c.Key, c.Sequence)
		s.complete(it.ticket, Result{Err: err})
		return
	}
	h, held := s.table.Holder(c.Key)
	switch {
	case !held:
		result := s.unavailable(now, "the key was held when the claim met it and is free now")
		result.Freed = true
		s.complete(it.ticket, result)
	case h.attempt == newAttempt(s.settings.Host, s.settings.Incarnation, c.Sequence):
		s.complete(it.ticket, Result{Won: true})
	default:
		s.complete(it.ticket, s.heldResult(req, h))
	}
}

// Tick fails calls of Acquire whose deadline has passed, and requeues the entries
// of batches that were not read back within AppendGrace after an append with the
// result Unknown. If nothing is left to be read back then, the shard is no longer stalled.
func (s *Shard) Tick(now time.Time) {
	for t, req := range s.pending {
		if !now.Before(req.Deadline) {
			s.Abandon(now, t)
			s.complete(t, s.unavailable(now, "the log did not confirm the claim in time"))
		}
	}
	for number, b := range s.sent {
		if b.unknownSince.IsZero() || now.Sub(b.unknownSince) < s.settings.AppendGrace {
			continue
		}
		delete(s.sent, number)
		s.requeue(now, b)
	}
	if s.Idle() {
		s.unreadSince = time.Time{}
	}
}

// requeue queues the entries of a batch that may or may not reach the stream.
// Outcomes and releases are idempotent and may appear twice. A claim must not
// appear twice: its attempt is released and replaced by a new one. Claims whose
// tickets are no longer pending are dropped.
func (s *Shard) requeue(now time.Time, b *sentBatch) {
	for _, it := range b.items {
		if it.claim == nil {
			s.queue = append(s.queue, it)
			continue
		}
		req, pending := s.pending[it.ticket]
		if !pending {
			continue
		}
		s.queueRelease(now, req.Key, it.claim.Sequence)
		s.queueClaim(now, it.ticket, req)
	}
}

// Reset clears the table after the stream was truncated past the reader's offset.
// The caller must pass the records again from the oldest retained one. Sent
// batches are requeued, because their records may have been removed before they
// were read. A batch whose append is in flight is not requeued.
func (s *Shard) Reset() {
	now := s.table.now
	s.table = NewTable(s.settings.Limits)
	s.table.advance(now)
	for number, b := range s.sent {
		if number != s.inFlight {
			delete(s.sent, number)
			s.requeue(now, b)
		}
	}
}
