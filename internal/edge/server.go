package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/membudget"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/poison"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Directory provides the current configuration and targets.
type Directory interface {
	Config() *fleet.Config
	Target(id tables.TargetID) (fleet.Target, bool)
	Targets() []fleet.Target
	// MarkLeaving records that a target has announced that it is leaving.
	MarkLeaving(t fleet.Target)
}

// SlotAllocator allocates slots at targets.
type SlotAllocator interface {
	Acquire(ctx context.Context, r pool.SlotRequest) (*pool.Grant, error)
	// ReportNeeds reports what a target said of the requests that it takes; see pool.Client.
	ReportNeeds(t fleet.Target, n pool.Needs, sentAt time.Time)
}

// Server serves callers' requests. It is safe for concurrent use.
type Server struct {
	// Started is closed when the host is ready to serve. Requests wait for it
	// for at most maxStartWait.
	Started <-chan struct{}
	// UpToDate reports whether the directory has been confirmed since this process
	// last resumed after a stall. Requests wait for that as for the start. It may be
	// nil.
	UpToDate  func() bool
	Directory Directory
	Slots     SlotAllocator
	Transport Transport
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Metrics   *observe.EdgeMetrics
	// Poison refuses requests that make targets crash. It may be nil.
	Poison *poison.Guard
	// Shutdown tells of the planned end of the process. It may be nil.
	Shutdown *Shutdown

	// Budget bounds the memory of the requests; nil means no bound.
	Budget *membudget.Budget

	quiet    quietTargets
	framings framings
	history  runHistory
	// atTargets is the number of requests that are at a target now.
	atTargets atomic.Int64
	// bufferedBytes is the size of all bodies that are buffered now.
	bufferedBytes atomic.Int64
}

// maxStartWait bounds how long a request waits for a host that has just
// started. A refusal would cost the caller more than the wait, since it may just
// have moved here from another host or would have to move to one.
const maxStartWait = 500 * time.Millisecond

// upToDatePollInterval is the time between two calls of UpToDate while a request
// waits.
const upToDatePollInterval = 10 * time.Millisecond

// awaitStart waits until Started is closed and the directory is up to date,
// maxStartWait has passed or ctx ends.
func (s *Server) awaitStart(ctx context.Context) {
	deadline := s.Clock.Now().Add(maxStartWait)
	select {
	case <-s.Started:
	default:
		s.awaitStarted(ctx)
	}
	for s.UpToDate != nil && !s.UpToDate() && ctx.Err() == nil && s.Clock.Now().Before(deadline) {
		s.Clock.Sleep(upToDatePollInterval)
	}
}

func (s *Server) awaitStarted(ctx context.Context) {
	select {
	case <-s.Started:
	case <-ctx.Done():
	case <-s.Clock.After(maxStartWait):
	}
}

// exchange is the state of one request.
type exchange struct {
	server  *Server
	request *Request
	caller  Caller
	// traits is what the request may have in common with others.
	traits   []system.Trait
	config   *fleet.Config
	route    *fleet.Route
	customer *fleet.Customer
	service  tables.ServiceID
	// deadline is the earlier of the caller's and the route's deadline; zero if
	// there is none.
	deadline time.Time
	// targetDeadline is when the target of the current call is to stop working on it.
	targetDeadline time.Time
	// tried lists the targets to which the request was sent, each once.
	tried []tables.TargetID
	// restarted lists the targets to which it was not sent because of ErrRestarted.
	restarted []tables.TargetID
	// asked is true once a slot was requested.
	asked atomic.Bool
	// unsent is the number of calls that could not be sent.
	unsent int
	relay  relay
	// target is the target of the latest call, and call how far that has come.
	target fleet.Target
	call   callProgress
	// failover seeks a slot at another target while the current one is silent; nil if
	// the request may not be sent to another target. nextSlot is a slot that it found.
	failover *failover
	nextSlot *heldSlot
	// silence ends a call whose target is silent for good; nil if the request has a
	// deadline.
	silence *silenceLimit
	// confirmation ends a call that was made to confirm the end of a stream; nil if the current
	// one was made for another reason.
	confirmation *confirmationLimit
	// silent is the target that the request has left because it was silent; empty if
	// there is none. mayReturn is true if the next one did not run the request, so that
	// the silent one may get it again.
	silent    tables.TargetID
	mayReturn bool
	// bufferedBytes is the share of this request in Server.bufferedBytes.
	bufferedBytes int64
	// answers is what the bodies of this request take of the budget.
	answers *membudget.Account
}

// callProgress tells how far a call to a target has come.
type callProgress struct {
	// answered is true once the header of the answer has arrived.
	answered bool
	// status is the status of the answer, and framed its Response.Framed.
	status int
	framed bool
	// unusualEnd is true if the answer ends with its connection, and other streams of its target
	// do not.
	unusualEnd bool
	// via is the host that passes the answer on; empty if this host has the connection.
	via tables.HostID
	// events is the number of events that the call has brought.
	events int
}

// Serve processes one request and responds to caller exactly once.
func (s *Server) Serve(ctx context.Context, r *Request, caller Caller) {
	ex := &exchange{server: s, request: r, caller: caller, answers: s.Budget.Open(), traits: system.TraitsOf(r.PromptParts, r.Fingerprint)}
	s.Metrics.AddOpenRequests(1)
	defer s.Metrics.AddOpenRequests(-1)
	defer ex.releaseBodies()
	s.awaitStart(ctx)
	err := ex.admit()
	if err == nil {
		if !ex.deadline.IsZero() {
			bounded, cancel := clockwork.WithDeadline(ctx, s.Clock, ex.deadline)
			defer cancel()
			err = ex.serve(bounded, ctx)
		} else {
			err = ex.serve(ctx, ctx)
		}
	}
	ex.finish(ctx, err)
}

// admit finds the route, the customer and the service. Errors have a kind.
func (ex *exchange) admit() error {
	ex.config = ex.server.Directory.Config()
	if ex.config == nil {
		return errkind.NewRetry(errkind.NotConfigured, "no configuration is known yet", maxStartWait)
	}
	var err error
	ex.route, ex.customer, err = findAccess(ex.config, ex.request.Host, ex.request.Path, ex.request.Key)
	if err != nil {
		return err
	}
	if err := ex.readLastEvent(); err != nil {
		return err
	}
	ex.service = pickService(ex.route.Split, rand.Float64())
	ex.deadline = ex.computeDeadline()
	if err := ex.checkStopping(); err != nil {
		return err
	}
	return ex.server.Poison.Check(ex.request.ID, ex.traits)
}

// readLastEvent reads which event of a stream the caller has last. It refuses a caller that
// could get nothing that goes on with it: what follows an ID that can't be read can't be
// checked, and another run of a stream that may not be resumed may have other events.
func (ex *exchange) readLastEvent() error {
	if ex.route.Kind != fleet.Stream {
		return nil
	}
	ex.relay.lastID = parseLastEvent(ex.request.LastEventID)
	switch {
	case ex.relay.lastID.state == lastUnreadable:
		return errkind.New(errkind.MalformedRequest, fmt.Sprintf("%q is not the ID of an event", ex.request.LastEventID))
	case !ex.route.Resumable && !ex.relay.lastID.none():
		return errkind.New(errkind.MalformedRequest, fmt.Sprintf("streams of route %s can't be resumed", ex.route.Name))
	default:
		return nil
	}
}

// computeDeadline returns the earlier of the caller's and the route's deadline,
// or zero if there is none.
func (ex *exchange) computeDeadline() time.Time {
	timeout := ex.request.Timeout
	if t := ex.route.Timeout; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return ex.request.Arrived.Add(timeout)
}

// pickService chooses a service at random by weight; random is in [0, 1).
func pickService(split []fleet.WeightedService, random float64) tables.ServiceID {
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

// finish logs the result and, unless the response is complete, sends the error
// to the caller or aborts the response.
func (ex *exchange) finish(ctx context.Context, err error) {
	ex.logFinished(err)
	if err == nil {
		return
	}
	switch {
	case ctx.Err() != nil, ex.relay.started:
		ex.caller.Abort()
	default:
		ex.caller.Refuse(err)
	}
}

func (ex *exchange) logFinished(err error) {
	kind := errkind.Of(err)
	now := ex.server.Clock.Now()
	fields := []zap.Field{
		zap.String("request", ex.request.ID),
		zap.String("kind", string(kind)),
		zap.Duration("took", now.Sub(ex.request.Arrived)),
		zap.Any("targets", ex.tried),
	}
	route := ""
	if ex.route != nil {
		route = ex.route.Name
		fields = append(fields, zap.String("route", route), zap.Uint64("config", ex.config.Version))
	}
	if ex.customer != nil {
		fields = append(fields, zap.String("customer", string(ex.customer.Name)))
	}
	if !ex.relay.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", ex.relay.firstAt.Sub(ex.request.Arrived)))
	}
	if ex.relay.events > 0 {
		fields = append(fields, zap.Int("events", ex.relay.events), zap.Duration("longest_pause", ex.relay.longestGap),
			zap.Int64("first_event", ex.relay.firstSentID), zap.Int64("last_event", ex.relay.lastID.number))
	}
	if ex.call.answered {
		fields = append(fields, zap.Bool("framed", ex.call.framed), zap.String("caller_protocol", ex.request.Protocol))
	}
	if err != nil {
		fields = append(fields, zap.String("detail", errkind.DetailOf(err)))
	}
	ex.server.Metrics.RequestEnded(string(ex.service), kind, now.Sub(ex.request.Arrived))
	event.RequestFinished.Log(ex.server.Logger, fields...)
}
