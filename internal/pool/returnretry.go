package pool

import "github.com/bluebellseam/bluebellseam/internal/systems/allocation"

// returnRetry returns the retry budget taken by a request of which nothing was sent to a
// target. A retry that a target refused stays counted. The lock must be held.
func (c *Coordinator) returnRetry(id allocation.ID) {
	if entry := c.charges[id]; !entry.retriedAt.IsZero() {
		c.retries.ReturnRetry(c.clock.Now(), entry.retriedAt, entry.service)
	}
}
