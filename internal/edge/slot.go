package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// defaultAim is that of routes without one.
	defaultAim = time.Second
	// defaultPatience is how long a request without a deadline may wait.
	defaultPatience = 10 * time.Second
	// holdShare of the time until the deadline, and silenceShare of the time
	// after which callers leave, may pass before a request has a place.
	holdShare    = 0.5
	silenceShare = 0.75
	// maxStalePlaces bounds the places at targets that this host knows to be
	// leaving, while the home does not know it yet.
	maxStalePlaces = 3
)

// place asks for a place at a target that this host knows to be there.
func (x *exchange) place(ctx context.Context, repeat bool) (*pool.Grant, fleet.Target, error) {
	wish := x.wish(repeat)
	for range maxStalePlaces {
		grant, err := x.server.Places.Ask(ctx, wish)
		if err != nil {
			return nil, fleet.Target{}, err
		}
		target, known := x.server.Directory.Target(grant.Target)
		if known && !target.Leaving {
			return grant, target, nil
		}
		grant.End(place.Unused, 0)
		wish.Avoid = append(wish.Avoid, grant.Target)
	}
	return nil, fleet.Target{}, errkind.New(errkind.NoTarget, fmt.Sprintf("places at %v, which are leaving", wish.Avoid))
}

func (x *exchange) wish(repeat bool) pool.Wish {
	now := x.server.Clock.Now()
	w := pool.Wish{
		Request: x.request.ID,
		Service: x.service,
		Tier:    x.tier(),
		Urgency: x.route.Tier,
		Prompt:  x.request.Prompt,
		Aim:     x.aim() - now.Sub(x.request.Arrived),
		GapAim:  x.route.GapAim,
		Avoid:   append([]tables.TargetID(nil), x.tried...),
		Content: x.request.Content,
		Repeat:  repeat,
	}
	left := defaultPatience
	if !x.until.IsZero() {
		left = x.until.Sub(now)
	}
	w.Hold = x.hold(left)
	if x.customer != nil {
		w.Customer = x.customer.Name
		w.Tokens = x.tokens()
	}
	return w
}

// hold is how long the request may wait for a place, when left is the time
// until its deadline.
func (x *exchange) hold(left time.Duration) time.Duration {
	hold := time.Duration(holdShare * float64(left))
	if x.route.Silence > 0 {
		waited := x.server.Clock.Now().Sub(x.request.Arrived)
		hold = min(hold, time.Duration(silenceShare*float64(x.route.Silence))-waited)
	}
	return max(hold, 0)
}

func (x *exchange) aim() time.Duration {
	if x.route.Aim > 0 {
		return x.route.Aim
	}
	return defaultAim
}

func (x *exchange) tier() int {
	if x.customer != nil && x.customer.HasTier {
		return x.customer.Tier
	}
	return x.route.Tier
}

// tokens is what the request counts against the quota of its customer.
func (x *exchange) tokens() int {
	if x.request.Counted {
		return x.request.Prompt + x.request.Output
	}
	return x.customer.Quota.PlainTokens
}
