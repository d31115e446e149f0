package pool

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// limited is a customer whose quota was used up when it was last asked for.
type limited struct {
	until  time.Time
	tokens int
}

// limitKept bounds how long a refusal by quota stands for further requests of
// the customer that need as much, so that those do not load the home.
const limitKept = 200 * time.Millisecond

// noteLimit remembers a refusal by quota.
func (c *Client) noteLimit(w Wish, err error) {
	if errkind.Of(err) != errkind.CustomerLimit {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := min(errkind.RetryAfterOf(err), limitKept)
	c.limited[w.Customer] = limited{until: c.clock.Now().Add(wait), tokens: w.Tokens}
}

// stillLimited refuses a request whose customer had no tokens for less a moment
// ago.
func (c *Client) stillLimited(w Wish) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, known := c.limited[w.Customer]
	left := l.until.Sub(c.clock.Now())
	if !known || left <= 0 || w.Tokens < l.tokens {
		return nil
	}
	return errkind.NewRetry(errkind.CustomerLimit, fmt.Sprintf("customer %q had no %d tokens %s ago", w.Customer, l.tokens, limitKept-left), left)
}
