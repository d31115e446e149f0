package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Directory is what the edge knows of the deployment.
type Directory interface {
	Config() *fleet.Config
	Target(id tables.TargetID) (fleet.Target, bool)
}

// Places gives out places at targets.
type Places interface {
	Ask(ctx context.Context, w pool.Wish) (*pool.Grant, error)
}

// Server serves callers' requests.
type Server struct {
	// Started is closed when the host knows the deployment; requests wait for it
	// for startWait at most.
	Started   <-chan struct{}
	Directory Directory
	Places    Places
	Targets   Targets
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Metrics   *observe.Edge
}

// startWait bounds how long a request waits for a host that has just started.
// Its caller has left another host, or will, so a refusal costs it more.
const startWait = 500 * time.Millisecond

// awaitStart waits until the host has started.
func (s *Server) awaitStart(ctx context.Context) {
	select {
	case <-s.Started:
		return
	default:
	}
	select {
	case <-s.Started:
	case <-ctx.Done():
	case <-s.Clock.After(startWait):
	}
}

// exchange is one request on its way.
type exchange struct {
	server   *Server
	request  *Request
	caller   Caller
	config   *fleet.Config
	route    *fleet.Route
	customer *fleet.Customer
	service  tables.ServiceID
	// until is when the caller or the route waits no longer; zero means never.
	until time.Time
	// tried lists the targets that the request was sent to.
	tried []tables.TargetID
	relay relay
	// silence watches the present send; nil without.
	silence *silence
}

// Serve takes one request to its end. It answers caller exactly once.
func (s *Server) Serve(ctx context.Context, r *Request, caller Caller) {
	x := &exchange{server: s, request: r, caller: caller}
	s.Metrics.Open(1)
	defer s.Metrics.Open(-1)
	s.awaitStart(ctx)
	err := x.admit()
	if err == nil {
		if !x.until.IsZero() {
			bounded, cancel := clockwork.WithDeadline(ctx, s.Clock, x.until)
			defer cancel()
			err = x.serve(bounded, ctx)
		} else {
			err = x.serve(ctx, ctx)
		}
	}
	x.finish(ctx, err)
}

// admit finds route and customer. Errors have a kind.
func (x *exchange) admit() error {
	x.config = x.server.Directory.Config()
	if x.config == nil {
		return errkind.NewRetry(errkind.NotConfigured, "no configuration is known yet", startWait)
	}
	x.route = x.config.Route(x.request.Host, x.request.Path)
	if x.route == nil {
		return errkind.New(errkind.UnknownService, fmt.Sprintf("no route for host %q and path %q", x.request.Host, x.request.Path))
	}
	if err := x.identify(); err != nil {
		return err
	}
	x.service = pick(x.route.Split, rand.Float64())
	x.until = x.deadline()
	return nil
}

// identify finds the customer by the key.
func (x *exchange) identify() error {
	if !x.config.Keyed || x.route.Public {
		return nil
	}
	x.customer = x.config.Customer(x.request.Key)
	if x.customer == nil {
		return errkind.New(errkind.Unauthenticated, "the key belongs to no customer")
	}
	return nil
}

// deadline is the earlier of the caller's and the route's.
func (x *exchange) deadline() time.Time {
	left := x.request.Patience
	if t := x.route.Timeout; t > 0 && (left <= 0 || t < left) {
		left = t
	}
	if left <= 0 {
		return time.Time{}
	}
	return x.request.Arrived.Add(left)
}

// pick chooses a service by weight; random is in [0, 1).
func pick(split []fleet.Share, random float64) tables.ServiceID {
	total := 0.0
	for _, s := range split {
		total += max(s.Weight, 0)
	}
	at := random * total
	for _, s := range split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

// finish answers a request that got no whole answer and logs how it ended.
func (x *exchange) finish(ctx context.Context, err error) {
	x.record(err)
	if err == nil {
		return
	}
	switch {
	case ctx.Err() != nil, x.relay.begun:
		x.caller.Abort()
	default:
		x.caller.Refuse(err)
	}
}

func (x *exchange) record(err error) {
	kind := errkind.Of(err)
	now := x.server.Clock.Now()
	fields := []zap.Field{
		zap.String("request", x.request.ID),
		zap.String("kind", string(kind)),
		zap.Duration("took", now.Sub(x.request.Arrived)),
		zap.Any("targets", x.tried),
	}
	route := ""
	if x.route != nil {
		route = x.route.Name
		fields = append(fields, zap.String("route", route), zap.Uint64("config", x.config.Version))
	}
	if x.customer != nil {
		fields = append(fields, zap.String("customer", string(x.customer.Name)))
	}
	if !x.relay.first.IsZero() {
		fields = append(fields, zap.Duration("first", x.relay.first.Sub(x.request.Arrived)))
	}
	if x.relay.events > 0 {
		fields = append(fields, zap.Int("events", x.relay.events), zap.Duration("longest_pause", x.relay.longest))
	}
	if err != nil {
		fields = append(fields, zap.String("detail", errkind.DetailOf(err)))
	}
	x.server.Metrics.Ended(string(x.service), kind, now.Sub(x.request.Arrived))
	event.RequestFinished.Log(x.server.Logger, fields...)
}
