package claim

import (
	"time"
)

// NextBatch returns the next batch to append. There is at most one append in
// flight, so batches grow with the latency of the log; AppendDone ends it.
func (s *Shard) NextBatch(now time.Time) (Batch, bool) {
	if !s.Due(now) {
		return Batch{}, false
	}
	items := s.takeWaiting()
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
	if s.unread.IsZero() {
		s.unread = now
	}
	return b, true
}

// Due reports whether NextBatch has a batch.
func (s *Shard) Due(now time.Time) bool {
	at, ok := s.NextDue()
	return ok && !now.Before(at)
}

// NextDue returns when NextBatch will have a batch; ok is false when nothing
// waits or an append is in flight.
func (s *Shard) NextDue() (at time.Time, ok bool) {
	if s.inFlight != 0 {
		return time.Time{}, false
	}
	for _, it := range s.waiting {
		due := it.queued
		if it.outcome != nil {
			due = due.Add(s.settings.OutcomeDelay)
		}
		if !ok || due.Before(at) {
			at, ok = due, true
		}
	}
	if at.Before(s.downUntil) {
		at = s.downUntil
	}
	return at, ok
}

// takeWaiting takes the entries of one batch out of the queue. Releases go
// first, because a claim that replaces a released one follows in the batch.
func (s *Shard) takeWaiting() []item {
	var taken, left []item
	bytes := 0
	for _, wanted := range []func(item) bool{isRelease, isClaim, isOutcome} {
		for _, it := range s.waiting {
			if !wanted(it) {
				continue
			}
			if len(taken) == maxBatchEntries || bytes > maxBatchBodyBytes {
				left = append(left, it)
				continue
			}
			taken = append(taken, it)
			if it.outcome != nil {
				bytes += len(it.outcome.Body)
			}
		}
	}
	s.waiting = left
	return taken
}

func isRelease(it item) bool { return it.release != nil }
func isClaim(it item) bool   { return it.claim != nil }
func isOutcome(it item) bool { return it.outcome != nil }

// AppendDone reports the end of the append of a batch.
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
		s.refusals = 0
	case Refused:
		delete(s.sent, number)
		s.Down(now)
		s.refuse(now, b)
		if len(s.sent) == 0 {
			s.unread = time.Time{}
		}
	case Unknown:
		b.unknownSince = now
	}
}

// refuse ends the claims of a batch that never got into the stream and keeps
// its other entries.
func (s *Shard) refuse(now time.Time, b *sentBatch) {
	for _, it := range b.items {
		if it.claim == nil {
			s.waiting = append(s.waiting, it)
			continue
		}
		if _, waits := s.asks[it.ticket]; waits {
			s.settle(it.ticket, s.unavailable(now, "the log refused the claim"))
		}
	}
}

// Down notes that the log refused a call or cannot be reached. During a pause
// asks for free keys are refused at once and nothing is sent.
func (s *Shard) Down(now time.Time) {
	s.downUntil = now.Add(s.nextPause())
	for t := range s.asks {
		if s.queuedOnly(t) {
			s.settle(t, s.unavailable(now, "the log cannot be reached"))
		}
	}
	s.dropSettledClaims()
}

// nextPause doubles with every refusal in a row up to the setting.
func (s *Shard) nextPause() time.Duration {
	pause := s.settings.Pause / firstPauseShare << min(s.refusals, firstPauseShare)
	s.refusals++
	return min(pause, s.settings.Pause)
}

// Paused reports whether the shard sends nothing for now.
func (s *Shard) Paused(now time.Time) bool {
	return now.Before(s.downUntil)
}

func (s *Shard) queuedOnly(t Ticket) bool {
	for _, it := range s.waiting {
		if it.ticket == t && it.claim != nil {
			return true
		}
	}
	return false
}

func (s *Shard) dropSettledClaims() {
	kept := s.waiting[:0]
	for _, it := range s.waiting {
		_, waits := s.asks[it.ticket]
		if it.claim == nil || waits {
			kept = append(kept, it)
		}
	}
	s.waiting = kept
}

// ReadRecord folds one record of the stream. Own claims in it are decided by
// the next Decide, when all records at hand are folded.
func (s *Shard) ReadRecord(now time.Time, offset int64, at time.Time, b Batch) {
	s.table.Apply(now, offset, at, b)
	if b.Writer != s.settings.Host || b.Incarnation != s.settings.Incarnation {
		return
	}
	mine, ok := s.sent[b.Number]
	if !ok {
		return
	}
	delete(s.sent, b.Number)
	s.unread = time.Time{}
	if len(s.sent) > 0 {
		s.unread = now
	}
	for _, it := range mine.items {
		switch {
		case it.claim != nil:
			s.undecided = append(s.undecided, it)
		case it.outcome != nil:
			s.settle(it.ticket, Answer{})
		}
	}
}

// Decide answers the asks whose claims were read back.
func (s *Shard) Decide(now time.Time) {
	for _, it := range s.undecided {
		s.decide(now, it)
	}
	s.undecided = nil
}

// decide answers the ask of a claim that was read back.
func (s *Shard) decide(now time.Time, it item) {
	ask, waits := s.asks[it.ticket]
	if !waits {
		return
	}
	c := it.claim
	if err := s.table.Check(now, c.Key, ask.Lifetime); err != nil {
		s.queueRelease(now, c.Key, c.Sequence)
		s.settle(it.ticket, Answer{Err: err})
		return
	}
	h, held := s.table.Holder(c.Key)
	switch {
	case !held:
		answer := s.unavailable(now, "the key was held when the claim met it and is free now")
		answer.Freed = true
		s.settle(it.ticket, answer)
	case h.attempt == newAttempt(s.settings.Host, s.settings.Incarnation, c.Sequence):
		s.settle(it.ticket, Answer{Won: true})
	default:
		s.settle(it.ticket, s.lost(ask, h))
	}
}

// Tick ends asks whose deadline has passed and gives up on batches of unknown
// outcome whose grace is over.
func (s *Shard) Tick(now time.Time) {
	for t, ask := range s.asks {
		if !now.Before(ask.Deadline) {
			s.Abandon(now, t)
			s.settle(t, s.unavailable(now, "the log did not confirm the claim in time"))
		}
	}
	for number, b := range s.sent {
		if b.unknownSince.IsZero() || now.Sub(b.unknownSince) < s.settings.Grace {
			continue
		}
		delete(s.sent, number)
		s.resend(now, b)
	}
}

// resend queues the entries of a batch that may or may not get into the
// stream. Outcomes and releases may be there twice. A claim may not: its
// attempt is released and the ask gets a new one.
func (s *Shard) resend(now time.Time, b *sentBatch) {
	for _, it := range b.items {
		if it.claim == nil {
			s.waiting = append(s.waiting, it)
			continue
		}
		ask, waits := s.asks[it.ticket]
		if !waits {
			continue
		}
		s.queueRelease(now, ask.Key, it.claim.Sequence)
		s.queueClaim(now, it.ticket, ask)
	}
}

// Reset forgets the table, because the stream was truncated under the reader.
// Its owner feeds the stream again from the oldest kept record on.
func (s *Shard) Reset() {
	now := s.table.now
	s.table = NewTable(s.settings.Limits)
	s.table.advance(now)
	for number, b := range s.sent {
		if number != s.inFlight {
			delete(s.sent, number)
			s.resend(now, b)
		}
	}
}
