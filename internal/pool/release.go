package pool

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
)

// cancel withdraws a slot request whose context has ended. It also releases a
// slot that was granted in the meantime.
func (c *Coordinator) cancel(m slotRequestMessage) error {
	c.mu.Lock()
	delete(c.waiting, m.ID)
	c.scheduler.Cancel(m.Service, m.ID)
	c.scheduler.Release(c.clock.Now(), m.ID, allocation.Abandoned)
	c.returnRetry(m.ID)
	c.refund(m.ID)
	c.mu.Unlock()
	return errkind.New(errkind.CancelledBeforeRun, fmt.Sprintf("ask of request %q was withdrawn", m.Request))
}

// refund returns the quota taken by a request that did not run. The lock must
// be held.
func (c *Coordinator) refund(id allocation.ID) {
	entry, ok := c.charges[id]
	if !ok {
		return
	}
	delete(c.charges, id)
	c.buckets.Refund(entry.Charge)
}

// Report records first bytes and releases.
func (c *Coordinator) Report(r reportMessage) {
	c.mu.Lock()
	now := c.clock.Now()
	for _, f := range r.FirstBytes {
		c.scheduler.RecordSender(f.ID, f.Sender)
		c.judgeFirstByte(now, f)
		c.beginStream(f)
		c.scheduler.RecordFirstByte(now, f.ID, fromMS(f.TookMS))
	}
	c.stateLimits(now, r.Limits)
	for _, e := range r.Releases {
		c.release(now, e)
	}
	c.mu.Unlock()
	c.schedule()
}

// release frees the slot of a grant, or withdraws a slot request that is still
// waiting. The lock must be held.
func (c *Coordinator) release(now time.Time, e releaseReport) {
	if w := c.waiting[e.ID]; w != nil {
		delete(c.waiting, e.ID)
		c.scheduler.Cancel(e.Service, e.ID)
		w.done <- allocation.Decision{Request: w.request.toSlotRequest(now), Reason: allocation.TooLate}
		return
	}
	c.endStream(e)
	c.scheduler.RecordSender(e.ID, e.Sender)
	c.judgeRelease(now, e)
	c.scheduler.RecordEventGap(e.ID, fromMS(e.MeanEventGapMS))
	if e.Outcome == allocation.Succeeded && e.Events > 0 {
		c.scheduler.RecordOutput(e.ID, e.Events)
	}
	c.scheduler.Release(now, e.ID, e.Outcome)
	if !e.Outcome.Sent() {
		c.returnRetry(e.ID)
	}
	if e.Outcome.NotRun() {
		c.refund(e.ID)
		return
	}
	delete(c.charges, e.ID)
}

// beginStream records that a stream has sent its first event. The lock must be held.
func (c *Coordinator) beginStream(f firstByteReport) {
	if e, known := c.charges[f.ID]; known {
		c.Origins.begin(e.stream, e.version, c.scheduler.TargetOf(f.ID))
	}
}

// endStream records the end of a stream that was completed. The lock must be held.
func (c *Coordinator) endStream(e releaseReport) {
	if e.Outcome == allocation.Succeeded {
		c.Origins.end(c.charges[e.ID].stream)
	}
}
