package pool

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// quotaRefusal is the last refusal of a customer's slot request by quota.
type quotaRefusal struct {
	until  time.Time
	tokens int
}

// maxQuotaRefusalAge bounds how long a refusal applies to further requests of
// the customer that need at least as many tokens. Refusing those locally keeps
// their load off the coordinator.
const maxQuotaRefusalAge = 200 * time.Millisecond

// cacheQuotaRefusal stores err if it is a refusal by quota.
func (c *Client) cacheQuotaRefusal(r SlotRequest, err error) {
	if errkind.Of(err) != errkind.CustomerLimit {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := min(errkind.RetryAfterOf(err), maxQuotaRefusalAge)
	c.quotaRefusals[r.Customer] = quotaRefusal{until: c.clock.Now().Add(wait), tokens: r.QuotaTokens}
}

// cachedQuotaRefusal returns an error if the customer was recently refused the
// same number of tokens or fewer.
func (c *Client) cachedQuotaRefusal(r SlotRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal, known := c.quotaRefusals[r.Customer]
	remaining := refusal.until.Sub(c.clock.Now())
	if !known || remaining <= 0 || r.QuotaTokens < refusal.tokens {
		return nil
	}
	return errkind.NewRetry(errkind.CustomerLimit, fmt.Sprintf("customer %q had no %d tokens %s ago", r.Customer, refusal.tokens, maxQuotaRefusalAge-remaining), remaining)
}
