package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/api/callers"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// headerRequestID carries the identity of a request to its caller.
const headerRequestID = "Bluebell-Request-Id"

// api implements the generated callers' API over a Gate.
type api struct {
	*Gate
}

type customerKey struct{}

// HandleCustomerKey finds the customer of a bearer key.
func (a api) HandleCustomerKey(ctx context.Context, _ callers.OperationName, key callers.CustomerKey) (context.Context, error) {
	customer, err := a.customer(key.Token)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, customerKey{}, customer), nil
}

func customerOf(ctx context.Context) tables.CustomerID {
	id, _ := ctx.Value(customerKey{}).(tables.CustomerID)
	return id
}

// Generate streams the answer of a model service.
func (a api) Generate(ctx context.Context, req *callers.GenerateRequest, params callers.GenerateParams, w http.ResponseWriter) error {
	return a.serve(ctx, ask{
		customer:  customerOf(ctx),
		service:   params.Service,
		key:       params.IdempotencyKey.Or(""),
		tier:      req.Tier.Or(""),
		body:      []byte(req.Prompt),
		maxTokens: req.MaxTokens.Or(0),
		deadline:  time.Duration(req.DeadlineMs.Or(0)) * time.Millisecond,
	}, w)
}

// Call answers an operation of a plain service.
func (a api) Call(ctx context.Context, req jx.Raw, params callers.CallParams, w http.ResponseWriter) error {
	return a.serve(ctx, ask{
		customer:  customerOf(ctx),
		service:   params.Service,
		operation: params.Operation,
		plain:     true,
		key:       params.IdempotencyKey.Or(""),
		tier:      params.BluebellTier.Or(""),
		body:      req,
	}, w)
}

// serve begins a request and writes its answer.
func (g *Gate) serve(ctx context.Context, a ask, w http.ResponseWriter) error {
	arrived := g.Clock.Now()
	ctx, span := g.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("bluebell.service", a.service),
		attribute.String("bluebell.customer", string(a.customer))))
	defer span.End()
	out := &answer{g: g, w: w, arrived: arrived}
	err := g.relay(ctx, a, out, span)
	g.Observer.Answered(Answered{
		Service: a.service, Tier: out.tier, Kind: errkind.Of(err), Tokens: out.tokens,
		FirstToken: out.firstToken, Whole: g.Clock.Now().Sub(arrived),
	})
	span.SetAttributes(observe.AttributeKind.String(string(errkind.Of(err))))
	if err == nil || out.begun {
		return nil
	}
	event.RequestRefused.Log(g.Logger, zap.String("service", a.service), zap.String("kind", string(errkind.Of(err))), zap.String("detail", errkind.DetailOf(err)))
	return err
}

func (g *Gate) relay(ctx context.Context, a ask, out *answer, span trace.Span) error {
	adm, err := g.admit(ctx, a)
	if err != nil {
		return err
	}
	if err := g.enter(adm.msg); err != nil {
		return err
	}
	err = g.run(ctx, adm, out, span)
	g.leave(adm.msg, err)
	return err
}

// run begins an admitted request and writes its answer.
func (g *Gate) run(ctx context.Context, adm admitted, out *answer, span trace.Span) error {
	f, err := g.begin(ctx, adm)
	if err != nil {
		return err
	}
	defer f.join()()
	out.tier = f.msg.Tier
	out.announce(f.id)
	span.SetAttributes(observe.AttributeRequest.String(string(f.id)))
	if adm.msg.Plain {
		return out.writeCall(ctx, f)
	}
	return out.writeStream(ctx, f)
}

// GetRequest tells the outcome of a request, asking other hosts when needed.
func (a api) GetRequest(ctx context.Context, params callers.GetRequestParams) (*callers.RequestStatus, error) {
	id := tables.RequestID(params.ID)
	if _, err := id.Home(); err != nil {
		return nil, errkind.Wrap(err, errkind.MalformedRequest, "request ID")
	}
	customer := customerOf(ctx)
	if f := a.find(id); f != nil && f.msg.Customer == customer {
		return statusOf(f.known()), nil
	}
	o, err := a.lookup(ctx, id, customer)
	if err != nil {
		return nil, err
	}
	return statusOf(o), nil
}

// known describes a flight of this gate.
func (f *flight) known() peer.Outcome {
	p := f.since(0)
	o := peer.Outcome{ID: f.id, Known: true, Target: p.target, Tokens: p.tokens}
	if p.outcome == nil {
		return o
	}
	o.Done = true
	o.Kind = p.outcome.Kind
	o.Detail = p.outcome.Detail
	if o.Kind != errkind.None {
		return o
	}
	o.BodyKept = true
	o.Body = p.outcome.Body
	if !f.msg.Plain {
		o.Body = f.whole()
	}
	return o
}

func statusOf(o peer.Outcome) *callers.RequestStatus {
	s := &callers.RequestStatus{
		ID:     string(o.ID),
		State:  callers.RequestStatusStateFinished,
		Ran:    callers.RequestStatusRan(o.Kind.Answer().Ran),
		Tokens: callers.NewOptInt(o.Tokens),
	}
	if !o.Done || o.Provisional {
		s.State = openState(o)
		s.Ran = callers.RequestStatusRanUnknown
		return s
	}
	if o.Kind != errkind.None {
		s.Kind = callers.NewOptString(string(o.Kind))
		s.Detail = callers.NewOptString(o.Detail)
	}
	if o.Target != "" {
		s.Target = callers.NewOptString(string(o.Target))
	}
	if o.BodyKept {
		s.Answer = callers.NewOptString(string(o.Body))
	}
	if o.TraceID != "" {
		s.TraceID = callers.NewOptString(o.TraceID)
	}
	return s
}

// openState tells a request that has no target yet from one that runs.
func openState(o peer.Outcome) callers.RequestStatusState {
	if o.Target == "" {
		return callers.RequestStatusStateQueued
	}
	return callers.RequestStatusStateRunning
}

// NewError converts an error to the answer of its kind.
func (a api) NewError(_ context.Context, err error) *callers.ProblemStatusCodeWithHeaders {
	kind, detail := classify(err)
	out := &callers.ProblemStatusCodeWithHeaders{
		StatusCode: kind.Answer().Status,
		Response:   callers.Problem{Kind: string(kind), Ran: callers.ProblemRan(kind.Answer().Ran), Detail: detail},
	}
	if wait := errkind.RetryAfterOf(err); wait > 0 {
		out.RetryAfter = callers.NewOptInt(seconds(wait))
		out.Response.RetryAfterMs = callers.NewOptInt(int(wait.Milliseconds()))
	}
	return out
}

// seconds rounds up, since Retry-After counts whole seconds.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// classify gives a kind to errors of the generated server as well.
func classify(err error) (errkind.Kind, string) {
	var tooLarge *http.MaxBytesError
	var security *ogenerrors.SecurityError
	var params *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.BodyTooLarge, fmt.Sprintf("body exceeds %d bytes", tooLarge.Limit)
	case errors.As(err, &security) && errkind.Of(err) == errkind.Internal:
		return errkind.Unauthenticated, "the request carries no valid key"
	case errors.As(err, &params), errors.As(err, &body):
		return errkind.MalformedRequest, err.Error()
	}
	return errkind.Of(err), errkind.DetailOf(err)
}

// Handler returns the callers' HTTP handler.
func (g *Gate) Handler() (http.Handler, error) {
	a := api{g}
	server, err := callers.NewServer(a, a, a,
		callers.WithErrorHandler(a.writeError),
		callers.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			a.writeError(r.Context(), w, r, errkind.New(errkind.MalformedRequest, fmt.Sprintf("path %q does not exist", r.URL.Path)))
		}),
		callers.WithMethodNotAllowed(func(w http.ResponseWriter, r *http.Request, allowed string) {
			a.writeError(r.Context(), w, r, errkind.New(errkind.MalformedRequest, fmt.Sprintf("method %s is not one of %s", r.Method, allowed)))
		}),
	)
	if err != nil {
		return nil, err
	}
	return g.bounded(server), nil
}

// bounded limits the size of a body and takes the caller's trace context.
func (g *Gate) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, g.maxBody())
		next.ServeHTTP(w, r.WithContext(extractTrace(r)))
	})
}

func (g *Gate) maxBody() int64 {
	limit := config.DefaultMaxBodyBytes
	if doc := g.Document(); doc != nil {
		for _, s := range doc.Services {
			limit = max(limit, s.BodyLimit())
		}
	}
	return limit
}

func (a api) writeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := a.NewError(ctx, err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if wait, ok := p.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", fmt.Sprint(wait))
	}
	w.WriteHeader(p.StatusCode)
	_ = json.NewEncoder(w).Encode(&p.Response)
}
