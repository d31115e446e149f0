package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/identity"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxTriedHosts bounds the hosts that are asked to send one request, and
	// maxSearch the time after which no further one is asked.
	maxTriedHosts = 8
	maxSearch     = 150 * time.Millisecond
	// probeInterval is the time between two rounds of probes, each of up to
	// probesPerInterval.
	probeInterval     = 50 * time.Millisecond
	probesPerInterval = 4
)

// ForwardedRequest is a request that one host sends for another one.
type ForwardedRequest struct {
	// Request is the ID of the request.
	Request           string
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	NewConnection     bool
	// Resumable is that of edge.Call.
	Resumable bool
	// TargetStart is the start of the target that is meant; zero if it is not known.
	TargetStart time.Time
	// OnNotice is called with what the target says of itself in its answer. It may be nil.
	OnNotice func(edge.TargetNotice)
}

// Targets sends requests to targets over connections of this host. Errors of Send,
// SendThrough and Forward are of type *edge.SendError.
type Targets interface {
	edge.Transport
	// SendThrough sends a call with another transport than its own connections.
	SendThrough(ctx context.Context, through http.RoundTripper, t fleet.Target, c edge.Call) (*edge.Response, error)
	// Forward sends a request of another host.
	Forward(ctx context.Context, t fleet.Target, r ForwardedRequest) (*http.Response, error)
	// Probe opens a connection to a target and closes it.
	Probe(ctx context.Context, t fleet.Target) error
	// ProbeEnd opens a connection to a target, holds it for a time and returns what became
	// of it.
	ProbeEnd(ctx context.Context, t fleet.Target, hold time.Duration) answerend.Probe
	// Ask asks a target over a new connection what it says of itself.
	Ask(ctx context.Context, t fleet.Target) answerend.Reply
}

// Router is the edge.Transport of a host. It knows to which targets the host has lost its
// path, and sends requests to these through other hosts. It is safe for concurrent use.
type Router struct {
	Self    fleet.Host
	Targets Targets
	// Hosts returns the hosts of the deployment.
	Hosts func() []fleet.Host
	// Target returns a listed target.
	Target func(tables.TargetID) (fleet.Target, bool)
	// Listed returns the listed targets.
	Listed func() []fleet.Target
	// Departed reports whether this start of a target, which is not listed, is known to have
	// left. It may be nil.
	Departed func(fleet.Target) bool
	// QuietFor returns how long a target wants no requests from this host. It may be nil.
	QuietFor func(fleet.Target) time.Duration
	// OnNotice is called with what a target says of itself in its answer to a request of
	// another host, which was sent at a time. It may be nil.
	OnNotice func(t fleet.Target, n edge.TargetNotice, sentAt time.Time)
	// Stale reports whether the process has stalled since a time, and has not learned after that
	// how targets are listed. It may be nil.
	Stale func(since time.Time) bool
	// OnEndJudged is called with the verdict on the end of an answer without a length, and
	// the evidence that decided it. It may be nil.
	OnEndJudged func(v answerend.Verdict, decisive string)
	// Claim returns what this host states of its fleet, and Judge an error if the host with an ID
	// must not be spoken to, which makes a claim. Both may be nil.
	Claim  func() identity.Claim
	Judge  func(host tables.HostID, c identity.Claim) error
	Clock  clockwork.Clock
	Logger *zap.Logger

	hops hopTransports
	ends endProbes

	mu     sync.Mutex
	paths  reach.Paths
	relays reach.Relays
}

var _ edge.Transport = (*Router)(nil)

// NewRouter returns a router. Its exported fields must be set before use.
func NewRouter() *Router {
	return &Router{hops: newHopTransports((&net.Dialer{}).DialContext)}
}

// DialHosts makes the router open its connections to other hosts with dial. It must not be called
// once the router is in use.
func (r *Router) DialHosts(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	r.hops = newHopTransports(dial)
}

// Send implements edge.Transport.
func (r *Router) Send(ctx context.Context, t fleet.Target, c edge.Call) (*edge.Response, error) {
	if r.pathLost(t) {
		resp, known, err := r.sendThrough(ctx, t, c)
		if known || ctx.Err() != nil {
			return resp, err
		}
		// No other host has a path: this one's may be back.
		return r.sendDirect(ctx, t, c)
	}
	resp, err := r.sendDirect(ctx, t, c)
	if !isUnsent(err) || ctx.Err() != nil {
		return resp, err
	}
	resp, known, throughErr := r.sendThrough(ctx, t, c)
	if !known {
		return nil, err
	}
	return resp, throughErr
}

func isUnsent(err error) bool {
	var sendErr *edge.SendError
	return errors.As(err, &sendErr) && sendErr.Delivery == edge.Unsent
}

func (r *Router) pathLost(t fleet.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.Lost(t)
}

// PathReport implements pool.PathView.
func (r *Router) PathReport() reach.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.Report()
}

// PathVersion implements pool.PathView.
func (r *Router) PathVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.Version()
}

// refusal returns why this host does not send to a target for another one; empty if it
// does. What this host knows of the target from the store, other hosts or its answers binds
// it like a request of its own callers.
func (r *Router) refusal(t fleet.Target) reach.Refusal {
	listed, known := r.Target(t.ID)
	switch {
	case known && listed.Leaving && !t.StartedAt.After(listed.StartedAt):
		return reach.Leaving
	case !known && r.Departed != nil && r.Departed(t):
		return reach.Leaving
	}
	if known {
		t = listed
	}
	if r.QuietFor != nil && r.QuietFor(t) > 0 {
		return reach.Quiet
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.paths.AllLost(t.Service):
		return reach.CutOff
	case r.paths.InDoubt(t):
		return reach.InDoubt
	case r.paths.Lost(t):
		return reach.Unreachable
	default:
		return ""
	}
}

// sendDirect sends a call over a connection of this host.
func (r *Router) sendDirect(ctx context.Context, t fleet.Target, c edge.Call) (*edge.Response, error) {
	begunAt := r.Clock.Now()
	resp, err := r.Targets.Send(ctx, t, c)
	if err != nil {
		r.recordFailure(ctx, t, begunAt, err)
		return nil, err
	}
	r.answered(t)
	resp.Body = r.watch(ctx, t, c.Request.ID, begunAt, resp.Body, resp.Framed)
	if c.Resumable && resp.Framed && resp.Length < 0 {
		resp.Body = r.confirmed(ctx, t, begunAt, resp.Body)
	}
	return resp, nil
}

// recordFailure records what a failed send over a connection of this host says about its
// path.
func (r *Router) recordFailure(ctx context.Context, t fleet.Target, begunAt time.Time, err error) {
	var sendErr *edge.SendError
	if !errors.As(err, &sendErr) || ctx.Err() != nil && !isUnsent(err) {
		return
	}
	if sendErr.Answered {
		r.received()
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	hung := sendErr.Delivery == edge.MayHaveRun && r.paths.Hung(now, begunAt)
	failed := hung || sendErr.Delivery == edge.Unsent && ctx.Err() == nil
	newlyLost := failed && r.paths.Failed(now, t, begunAt)
	inDoubt := r.paths.AllLost(t.Service)
	r.mu.Unlock()
	if newlyLost {
		event.PathLost.Log(r.Logger, zap.String("target", string(t.ID)), zap.Bool("all", inDoubt), zap.Duration("after", now.Sub(begunAt)), zap.Error(err))
	}
}

// answered records that a target has answered a request over a connection of this host.
func (r *Router) answered(t fleet.Target) {
	r.ends.heard(r.Clock.Now(), t.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Answered(r.Clock.Now(), t)
}

func (r *Router) received() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Received(r.Clock.Now())
}

// sendThrough sends a call through another host. known is false if no host with a path to
// targets could be asked, so that the error says nothing about the target.
func (r *Router) sendThrough(ctx context.Context, t fleet.Target, c edge.Call) (resp *edge.Response, known bool, err error) {
	begunAt := r.Clock.Now()
	var tried []tables.HostID
	err = &edge.SendError{Delivery: edge.Unsent, Cause: errNoHost}
	for len(tried) < maxTriedHosts && r.Clock.Now().Sub(begunAt) < maxSearch && ctx.Err() == nil {
		host, found := r.choose(t, c.Through, tried)
		if !found {
			break
		}
		tried = append(tried, host.ID)
		resp, hopErr := r.sendHop(ctx, host, t, c, len(tried))
		if hopErr == nil || !isUnsent(hopErr) {
			return resp, true, hopErr
		}
		if saysLeaving(hopErr) {
			// It is not the target's own word: the entry of a live target may have expired.
			return nil, true, hopErr
		}
		if saysUnreachable(hopErr) {
			known, err = true, hopErr
		}
	}
	return nil, known, err
}

var errNoHost = errors.New("no other host has a path to the target")

// saysUnreachable reports whether err is the word of a host that has a path to other
// targets and cannot reach this one.
func saysUnreachable(err error) bool {
	var sendErr *edge.SendError
	return errors.As(err, &sendErr) && sendErr.Via != ""
}

// saysLeaving reports whether err is the word of a host that the target is leaving or gone.
func saysLeaving(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.why == reach.Leaving
}

// choose returns the host that is asked next: first those that the coordinator has named.
func (r *Router) choose(t fleet.Target, named, tried []tables.HostID) (fleet.Host, bool) {
	hosts := r.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if host, found := r.relays.ChooseNamed(r.Clock.Now(), t.ID, hosts, named, tried); found {
		return host, true
	}
	return r.relays.Choose(r.Clock.Now(), r.Self, t.ID, hosts, tried, rand.Float64)
}

// sendHop sends a call through one host, the asked-th one.
func (r *Router) sendHop(ctx context.Context, host fleet.Host, t fleet.Target, c edge.Call, asked int) (*edge.Response, error) {
	begunAt := r.Clock.Now()
	r.mu.Lock()
	end := r.relays.Begin(host.ID)
	r.mu.Unlock()
	var once sync.Once
	endHop := func() {
		once.Do(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			end()
		})
	}
	through := &hop{
		transports: r.hops, self: r.Self.ID, claim: r.claim(), judge: r.judge, host: host, target: t, call: c, now: r.Clock.Now,
		onLoad: func(load int) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.relays.RecordLoad(r.Clock.Now(), host.ID, load)
		},
		onSilent: func() { r.avoid(host.ID) },
	}
	event.RequestForwarded.Log(r.Logger, zap.String("request", c.Request.ID), zap.String("target", string(t.ID)), zap.String("host", string(host.ID)), zap.Int("asked", asked))
	resp, err := r.Targets.SendThrough(ctx, through, t, c)
	if err != nil {
		endHop()
		return nil, r.hopError(ctx, host.ID, t.ID, err)
	}
	resp.Via = host.ID
	if through.unjudged {
		resp.Body = r.judged(ctx, t, c.Request.ID, begunAt, resp.Body)
	}
	resp.Body = &endedBody{resp.Body, endHop}
	return resp, nil
}

func (r *Router) avoid(host tables.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays.Failed(r.Clock.Now(), host)
}

// hopError completes the error of a call through a host, and records what it says about
// the host.
func (r *Router) hopError(ctx context.Context, host tables.HostID, target tables.TargetID, err error) error {
	var sendErr *edge.SendError
	if !errors.As(err, &sendErr) {
		return err
	}
	stated := *sendErr
	now := r.Clock.Now()
	var refused *refusedError
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.As(err, &refused):
		stated.Delivery = edge.Unsent
		if refused.why == reach.Unreachable {
			stated.Via = host
		}
		r.relays.Refused(now, host, target, refused.why)
	case errors.Is(err, errHopUnsent):
		r.relays.Refused(now, host, target, reach.Unreachable)
	case errors.Is(err, edge.ErrHostLost):
		if ctx.Err() == nil {
			r.relays.Failed(now, host)
		}
	}
	return &stated
}

func (r *Router) claim() identity.Claim {
	if r.Claim == nil {
		return identity.Claim{}
	}
	return r.Claim()
}

func (r *Router) judge(host tables.HostID, c identity.Claim) error {
	if r.Judge == nil {
		return nil
	}
	return r.Judge(host, c)
}

// forward sends a request of another host.
func (r *Router) forward(ctx context.Context, t fleet.Target, f ForwardedRequest) (*http.Response, error) {
	asked := t
	f.TargetStart = t.StartedAt
	if listed, known := r.Target(t.ID); known && listed.Address == t.Address {
		t = listed
		asked.Service = listed.Service
		if listed.StartedAt.After(asked.StartedAt) {
			asked = listed
		}
	}
	begunAt := r.Clock.Now()
	if r.OnNotice != nil {
		f.OnNotice = func(n edge.TargetNotice) { r.OnNotice(asked, n, begunAt) }
	}
	resp, err := r.Targets.Forward(ctx, t, f)
	if err != nil {
		r.recordFailure(ctx, t, begunAt, err)
		return nil, err
	}
	r.answered(t)
	inChunks := len(resp.TransferEncoding) > 0
	resp.Body = r.watch(ctx, t, f.Request, begunAt, resp.Body, resp.ContentLength >= 0 || inChunks)
	if f.Resumable && inChunks {
		resp.Body = r.confirmed(ctx, t, begunAt, resp.Body)
	}
	return resp, nil
}

// Run probes lost paths until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(probeInterval):
		}
		for range probesPerInterval {
			target, due := r.nextProbe()
			if !due {
				break
			}
			go r.probe(ctx, target)
		}
	}
}

// nextProbe returns the target that is to be probed now.
func (r *Router) nextProbe() (fleet.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if target, due := r.paths.NextProbe(now, r.listed); due {
		return target, true
	}
	if !r.paths.Checking(now) {
		return fleet.Target{}, false
	}
	return r.paths.NextCheck(now, r.Listed(), rand.Float64())
}

// listed reports whether this start of a target is listed.
func (r *Router) listed(t fleet.Target) bool {
	listed, known := r.Target(t.ID)
	return known && listed.StartedAt.Equal(t.StartedAt) && listed.Address == t.Address
}

// probe connects to a target to which the path is lost.
func (r *Router) probe(ctx context.Context, t fleet.Target) {
	err := r.Targets.Probe(ctx, t)
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.paths.ProbeFailed(now, t)
		return
	}
	if r.paths.Connected(now, t) {
		event.PathRegained.Log(r.Logger, zap.String("target", string(t.ID)))
	}
}
