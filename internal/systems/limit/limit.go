// Package limit bounds what one customer may ask of one gate: open requests,
// tokens per second, and how often refused content may come again too early.
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
	// burstTime is the time whose tokens a customer may use at once.
	burstTime = 10 * time.Second
	// earlyPerSecond and earlyBurst bound the requests that come again before
	// the time that their refusal advised.
	earlyPerSecond = 1
	earlyBurst     = 10
	// maxRefused bounds the refusals that are remembered of one customer.
	maxRefused = 4096
)

// Bounds are the configured limits of a customer at one gate; zero means none.
type Bounds struct {
	MaxInFlight     int
	TokensPerSecond float64
}

// Customers holds the use of every customer. One goroutine or lock owns it.
type Customers struct {
	rows map[tables.CustomerID]*customer
}

type customer struct {
	bounds   Bounds
	inFlight int
	tokens   *rate.Limiter
	early    *rate.Limiter
	// refused maps content to the time from which it may come again.
	refused *simplelru.LRU[tables.Fingerprint, time.Time]
}

// NewCustomers returns an empty table.
func NewCustomers() *Customers {
	return &Customers{rows: make(map[tables.CustomerID]*customer)}
}

func (c *Customers) row(id tables.CustomerID) *customer {
	row := c.rows[id]
	if row == nil {
		refused, err := simplelru.NewLRU[tables.Fingerprint, time.Time](maxRefused, nil)
		if err != nil {
			panic("limit: LRU of positive size refused: " + err.Error())
		}
		row = &customer{
			tokens:  rate.NewLimiter(rate.Inf, 0),
			early:   rate.NewLimiter(earlyPerSecond, earlyBurst),
			refused: refused,
		}
		c.rows[id] = row
	}
	return row
}

// Admit counts a request of a number of tokens as open, or returns an error of
// kind CustomerLimit that says when to come again. Each admitted request is
// ended by Done.
func (c *Customers) Admit(now time.Time, id tables.CustomerID, b Bounds, f tables.Fingerprint, tokens int) error {
	row := c.row(id)
	row.apply(now, b)
	if b.MaxInFlight > 0 && row.inFlight >= b.MaxInFlight {
		return errkind.New(errkind.CustomerLimit, fmt.Sprintf("customer %q has %d open requests at this host", id, row.inFlight))
	}
	if again, ok := row.refused.Get(f); ok && now.Before(again) && !row.early.AllowN(now, 1) {
		return refusal(again.Sub(now), fmt.Sprintf("customer %q sent refused content again %s too early", id, again.Sub(now)))
	}
	if wait := row.take(now, tokens); wait > 0 {
		return refusal(wait, fmt.Sprintf("customer %q may use %g tokens per second", id, b.TokensPerSecond))
	}
	row.inFlight++
	return nil
}

func refusal(wait time.Duration, detail string) error {
	return trace.Wrap(&errkind.Error{Kind: errkind.CustomerLimit, Detail: detail, RetryAfter: wait})
}

// apply takes over new bounds without a new burst.
func (r *customer) apply(now time.Time, b Bounds) {
	if b == r.bounds {
		return
	}
	r.bounds = b
	if b.TokensPerSecond <= 0 {
		r.tokens.SetLimitAt(now, rate.Inf)
		return
	}
	burst := int(b.TokensPerSecond * burstTime.Seconds())
	if r.tokens.Limit() == rate.Inf {
		r.tokens = rate.NewLimiter(rate.Limit(b.TokensPerSecond), burst)
		return
	}
	r.tokens.SetLimitAt(now, rate.Limit(b.TokensPerSecond))
	r.tokens.SetBurstAt(now, burst)
}

// take uses tokens, or returns the wait until they are there. A request above
// the burst uses the whole burst.
func (r *customer) take(now time.Time, tokens int) time.Duration {
	if r.bounds.TokensPerSecond <= 0 {
		return 0
	}
	reservation := r.tokens.ReserveN(now, min(tokens, r.tokens.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// Done ends an admitted request.
func (c *Customers) Done(id tables.CustomerID) {
	if row := c.rows[id]; row != nil && row.inFlight > 0 {
		row.inFlight--
	}
}

// Refused notes that content was refused and may come again after a wait.
func (c *Customers) Refused(now time.Time, id tables.CustomerID, f tables.Fingerprint, wait time.Duration) {
	c.row(id).refused.Add(f, now.Add(wait))
}

// spread is the most by which RetryAfter lengthens an advice, as its share.
const spread = 0.5

// RetryAfter returns the wait that a refusal advises: the expected wait at the
// queue, or the default of the kind when none is known, lengthened by a
// random share in [0, 1) so that refused callers do not come back at once.
func RetryAfter(k errkind.Kind, expected time.Duration, random float64) time.Duration {
	wait := max(expected, k.Answer().RetryAfter)
	return wait + time.Duration(float64(wait)*spread*random)
}
