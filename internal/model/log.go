package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// Bounds of the model log. A log with shortRetention forgets keys before they
// expire.
const (
	window         = 60 * time.Second
	longRetention  = 75 * time.Second
	shortRetention = 25 * time.Second
	clockSkew      = 2 * time.Second
	maxLateness    = 20 * time.Second
)

// logRecord is one record of the model log.
type logRecord struct {
	offset int64
	at     time.Time
	data   []byte
}

// modelLog is the platform's log with one claim stream.
type modelLog struct {
	w       *world
	records []logRecord
	first   int64
	down    bool
	slow    time.Duration
	// retention is how long a record is kept.
	retention time.Duration
}

// append adds a batch and reports what its caller can know of it.
func (l *modelLog) append(b claim.Batch, done func(claim.AppendResult)) {
	data, err := b.Encode()
	if err != nil {
		l.w.fail("batch does not encode: %v", err)
		return
	}
	lag := l.w.sim.delay() + l.slow
	switch p := l.w.sim.rng.Float64(); {
	case l.down:
		l.w.sim.after(lag, func() { done(claim.Refused) })
	case p < l.w.faults.lostAnswer:
		l.w.count.LostAnswers++
		l.w.sim.after(lag/2, func() { l.take(data) })
		l.w.sim.after(lag, func() { done(claim.Unknown) })
	case p < l.w.faults.lostAnswer*2:
		l.w.count.LostAppends++
		l.w.sim.after(lag, func() { done(claim.Unknown) })
	case p < l.w.faults.lostAnswer*3:
		l.w.count.LateAppends++
		l.w.sim.after(lag, func() { done(claim.Unknown) })
		l.w.sim.after(lag+l.w.sim.between(0, maxLateness), func() { l.take(data) })
	default:
		l.w.sim.after(lag/2, func() { l.take(data) })
		l.w.sim.after(lag, func() { done(claim.Appended) })
	}
}

// take gives a record its place in the stream.
func (l *modelLog) take(data []byte) {
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, logRecord{offset: offset, at: l.w.sim.time, data: data})
	for _, h := range l.w.hosts {
		h.readSoon(l.w.sim.delay() + l.slow)
	}
}

// expire drops what is older than the retention.
func (l *modelLog) expire() {
	oldest := l.w.sim.time.Add(-l.retention)
	dropped := 0
	for dropped < len(l.records) && l.records[dropped].at.Before(oldest) {
		dropped++
	}
	if dropped > 0 {
		l.w.count.Truncations++
		l.records = l.records[dropped:]
		l.first += int64(dropped)
	}
}

// page is the answer to a read.
type page struct {
	from, first, next int64
	records           []logRecord
	failed, truncated bool
}

func (l *modelLog) read(from int64) page {
	if l.down {
		return page{from: from, failed: true}
	}
	l.expire()
	p := page{from: from, first: l.first, next: l.first + int64(len(l.records))}
	if from < l.first {
		p.truncated = true
		return p
	}
	p.records = l.records[from-l.first:]
	return p
}

// outcome returns the recorded outcome of a holder, if the log still has it.
func (l *modelLog) outcome(key claim.Key, h claim.Holder) (claim.Outcome, bool) {
	p := l.read(h.OutcomeOffset)
	if p.failed || p.truncated || len(p.records) == 0 {
		return claim.Outcome{}, false
	}
	b, err := claim.Decode(p.records[0].data)
	if err != nil {
		return claim.Outcome{}, false
	}
	for _, o := range b.Outcomes {
		if o.Key == key && o.Request == h.Request {
			return o, true
		}
	}
	return claim.Outcome{}, false
}
