package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// Limits of the model log. With shortRetention, the log drops claims before their keys
// expire.
const (
	keyWindow      = 60 * time.Second
	longRetention  = 75 * time.Second
	shortRetention = 25 * time.Second
	clockSkew      = 2 * time.Second
	maxAppendDelay = 20 * time.Second
)

// logRecord is one record of the model log.
type logRecord struct {
	offset int64
	at     time.Time
	data   []byte
}

// modelLog simulates the log of the platform with one stream of claims.
type modelLog struct {
	w       *world
	records []logRecord
	// firstOffset is the offset of the first record that is kept.
	firstOffset int64
	down        bool
	// extraDelay is added to the delay of appends and of the notifications of new records.
	extraDelay time.Duration
	// retention is how long a record is kept.
	retention time.Duration
}

// append appends a batch and calls onResult with the result that the caller sees. With
// the result Unknown, the record may have been added, may be lost, or may be added up
// to maxAppendDelay later.
func (l *modelLog) append(b claim.Batch, onResult func(claim.AppendResult)) {
	data, err := b.Encode()
	if err != nil {
		l.w.addViolation("batch does not encode: %v", err)
		return
	}
	delay := l.w.sim.messageDelay() + l.extraDelay
	switch p := l.w.sim.rng.Float64(); {
	case l.down:
		l.w.sim.after(delay, func() { onResult(claim.Refused) })
	case p < l.w.faults.appendFault:
		l.w.count.LostAppendReplies++
		l.w.sim.after(delay/2, func() { l.addRecord(data) })
		l.w.sim.after(delay, func() { onResult(claim.Unknown) })
	case p < l.w.faults.appendFault*2:
		l.w.count.LostAppends++
		l.w.sim.after(delay, func() { onResult(claim.Unknown) })
	case p < l.w.faults.appendFault*3:
		l.w.count.LateAppends++
		l.w.sim.after(delay, func() { onResult(claim.Unknown) })
		l.w.sim.after(delay+l.w.sim.between(0, maxAppendDelay), func() { l.addRecord(data) })
	default:
		l.w.sim.after(delay/2, func() { l.addRecord(data) })
		l.w.sim.after(delay, func() { onResult(claim.Appended) })
	}
}

// addRecord adds a record at the end of the stream and makes every host read it.
func (l *modelLog) addRecord(data []byte) {
	offset := l.firstOffset + int64(len(l.records))
	l.records = append(l.records, logRecord{offset: offset, at: l.w.sim.now, data: data})
	for _, h := range l.w.hosts {
		h.scheduleRead(l.w.sim.messageDelay() + l.extraDelay)
	}
}

// truncate drops the records that are older than the retention.
func (l *modelLog) truncate() {
	cutoff := l.w.sim.now.Add(-l.retention)
	dropped := 0
	for dropped < len(l.records) && l.records[dropped].at.Before(cutoff) {
		dropped++
	}
	if dropped > 0 {
		l.w.count.Truncations++
		l.records = l.records[dropped:]
		l.firstOffset += int64(dropped)
	}
}

// page is the reply to a read. failed is set if the log is down, and truncated if the
// requested records are no longer kept.
type page struct {
	requestedOffset, firstOffset, endOffset int64
	records                                 []logRecord
	failed, truncated                       bool
}

// read returns all records from offset on.
func (l *modelLog) read(offset int64) page {
	if l.down {
		return page{requestedOffset: offset, failed: true}
	}
	l.truncate()
	p := page{requestedOffset: offset, firstOffset: l.firstOffset, endOffset: l.firstOffset + int64(len(l.records))}
	if offset < l.firstOffset {
		p.truncated = true
		return p
	}
	p.records = l.records[offset-l.firstOffset:]
	return p
}

// outcome returns the recorded outcome of a holder, if the log can be read and still
// has it.
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
