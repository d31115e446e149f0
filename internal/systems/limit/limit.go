// Package limit enforces limits per customer at one gate: concurrent requests,
// tokens per second, and the rate of early retries after a refusal.
package limit

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// burstDuration sets the burst of a customer: the tokens that its rate yields in
	// this time.
	burstDuration = 10 * time.Second
	// earlyRetriesPerSecond and earlyRetryBurst bound the retries of refused
	// requests before the advised time.
	earlyRetriesPerSecond = 1
	earlyRetryBurst       = 10
	// maxRefusals bounds the number of refusals kept per customer.
	maxRefusals = 4096
)

// Bounds are the configured limits of a customer at one gate; zero means no
// limit.
type Bounds struct {
	MaxInFlight     int
	TokensPerSecond float64
}

// CustomerLimiter enforces the limits of all customers and tracks their use. It
// is not safe for concurrent use.
type CustomerLimiter struct {
	customers map[tables.CustomerID]*customer
}

type customer struct {
	bounds       Bounds
	inFlight     int
	tokens       *rate.Limiter
	earlyRetries *rate.Limiter
	// retryAt maps the fingerprint of a refused request to the time from which it
	// may be retried.
	retryAt *simplelru.LRU[tables.Fingerprint, time.Time]
}

// NewCustomerLimiter returns a limiter without recorded use.
func NewCustomerLimiter() *CustomerLimiter {
	return &CustomerLimiter{customers: make(map[tables.CustomerID]*customer)}
}

func (c *CustomerLimiter) customer(id tables.CustomerID) *customer {
	entry := c.customers[id]
	if entry == nil {
		retryAt, err := simplelru.NewLRU[tables.Fingerprint, time.Time](maxRefusals, nil)
		if err != nil {
			panic("limit: LRU of positive size refused: " + err.Error())
		}
		entry = &customer{
			tokens:       rate.NewLimiter(rate.Inf, 0),
			earlyRetries: rate.NewLimiter(earlyRetriesPerSecond, earlyRetryBurst),
			retryAt:      retryAt,
		}
		c.customers[id] = entry
	}
	return entry
}

// Admit admits a request that uses up to the given number of tokens if the
// limits of its customer allow it. If not, Admit returns an error of kind
// CustomerLimit, with a RetryAfter if that is known. Every admitted request
// must be released.
func (c *CustomerLimiter) Admit(now time.Time, id tables.CustomerID, b Bounds, f tables.Fingerprint, tokens int) error {
	entry := c.customer(id)
	entry.setBounds(now, b)
	if b.MaxInFlight > 0 && entry.inFlight >= b.MaxInFlight {
		return errkind.New(errkind.CustomerLimit, fmt.Sprintf("customer %q has %d open requests at this host", id, entry.inFlight))
	}
	if retryAt, ok := entry.retryAt.Get(f); ok && now.Before(retryAt) && !entry.earlyRetries.AllowN(now, 1) {
		return limitError(retryAt.Sub(now), fmt.Sprintf("customer %q sent refused content again %s too early", id, retryAt.Sub(now)))
	}
	if wait := entry.take(now, tokens); wait > 0 {
		return limitError(wait, fmt.Sprintf("customer %q may use %g tokens per second", id, b.TokensPerSecond))
	}
	entry.inFlight++
	return nil
}

func limitError(wait time.Duration, detail string) error {
	return trace.Wrap(&errkind.Error{Kind: errkind.CustomerLimit, Detail: detail, RetryAfter: wait})
}

// setBounds replaces the bounds. A change from one rate to another grants no
// new burst. A customer that had no token limit starts with a full burst.
func (c *customer) setBounds(now time.Time, b Bounds) {
	if b == c.bounds {
		return
	}
	c.bounds = b
	if b.TokensPerSecond <= 0 {
		c.tokens.SetLimitAt(now, rate.Inf)
		return
	}
	burst := int(b.TokensPerSecond * burstDuration.Seconds())
	if c.tokens.Limit() == rate.Inf {
		c.tokens = rate.NewLimiter(rate.Limit(b.TokensPerSecond), burst)
		return
	}
	c.tokens.SetLimitAt(now, rate.Limit(b.TokensPerSecond))
	c.tokens.SetBurstAt(now, burst)
}

// take takes tokens, or returns the time until they are available. A request
// above the burst takes the whole burst.
func (c *customer) take(now time.Time, tokens int) time.Duration {
	if c.bounds.TokensPerSecond <= 0 {
		return 0
	}
	reservation := c.tokens.ReserveN(now, min(tokens, c.tokens.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// Release releases an admitted request.
func (c *CustomerLimiter) Release(id tables.CustomerID) {
	if entry := c.customers[id]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
	}
}

// RecordRefusal records that a request was refused and may be retried after
// wait.
func (c *CustomerLimiter) RecordRefusal(now time.Time, id tables.CustomerID, f tables.Fingerprint, wait time.Duration) {
	c.customer(id).retryAt.Add(f, now.Add(wait))
}

// retryJitter is the largest random increase of a Retry-After, as a fraction
// of it.
const retryJitter = 0.5

// RetryAfter returns the wait to advise with a refusal: the expected wait in
// the queue, or the default of the kind if that is longer, plus jitter so that
// refused callers do not retry at the same time. random is in [0, 1).
func RetryAfter(k errkind.Kind, expected time.Duration, random float64) time.Duration {
	wait := max(expected, k.Answer().RetryAfter)
	return wait + time.Duration(float64(wait)*retryJitter*random)
}
