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

// headerRequestID is the response header with the ID of the request.
const headerRequestID = "Bluebell-Request-Id"

// api implements the generated server interface of the callers' API.
type api struct {
	*Gate
}

type customerContextKey struct{}

// HandleCustomerKey authenticates a bearer key and stores its customer in the
// returned context.
func (a api) HandleCustomerKey(ctx context.Context, _ callers.OperationName, key callers.CustomerKey) (context.Context, error) {
	customer, err := a.customerForKey(key.Token)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, customerContextKey{}, customer), nil
}

func customerFrom(ctx context.Context) tables.CustomerID {
	id, _ := ctx.Value(customerContextKey{}).(tables.CustomerID)
	return id
}

// Generate streams the answer of a model service as server-sent events.
func (a api) Generate(ctx context.Context, req *callers.GenerateRequest, params callers.GenerateParams, w http.ResponseWriter) error {
	return a.serve(ctx, callerRequest{
		customer:  customerFrom(ctx),
		service:   params.Service,
		key:       params.IdempotencyKey.Or(""),
		tier:      req.Tier.Or(""),
		body:      []byte(req.Prompt),
		maxTokens: req.MaxTokens.Or(0),
		deadline:  time.Duration(req.DeadlineMs.Or(0)) * time.Millisecond,
	}, w)
}

// Call runs an operation of a plain service and writes its response.
func (a api) Call(ctx context.Context, req jx.Raw, params callers.CallParams, w http.ResponseWriter) error {
	return a.serve(ctx, callerRequest{
		customer:  customerFrom(ctx),
		service:   params.Service,
		operation: params.Operation,
		plain:     true,
		key:       params.IdempotencyKey.Or(""),
		tier:      params.BluebellTier.Or(""),
		body:      req,
	}, w)
}

// serve handles a request and reports it to the observer. It returns an error
// only if no part of the answer has been written.
func (g *Gate) serve(ctx context.Context, req callerRequest, w http.ResponseWriter) error {
	arrived := g.Clock.Now()
	ctx, span := g.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("bluebell.service", req.service),
		attribute.String("bluebell.customer", string(req.customer))))
	defer span.End()
	out := &answerWriter{g: g, w: w, arrived: arrived}
	err := g.handle(ctx, req, out, span)
	g.Observer.RequestEnded(EndedRequest{
		Service: req.service, Tier: out.tier, Kind: errkind.Of(err), Tokens: out.tokens,
		FirstToken: out.firstToken, Duration: g.Clock.Now().Sub(arrived),
	})
	span.SetAttributes(observe.AttributeKind.String(string(errkind.Of(err))))
	if err == nil || out.started {
		return nil
	}
	event.RequestRefused.Log(g.Logger, zap.String("service", req.service), zap.String("kind", string(errkind.Of(err))), zap.String("detail", errkind.DetailOf(err)))
	return err
}

func (g *Gate) handle(ctx context.Context, req callerRequest, out *answerWriter, span trace.Span) error {
	adm, err := g.admit(ctx, req)
	if err != nil {
		return err
	}
	if err := g.admitCustomer(adm.msg); err != nil {
		return err
	}
	err = g.respond(ctx, adm, out, span)
	g.releaseCustomer(adm.msg, err)
	return err
}

// respond starts or joins an admitted request and writes its answer.
func (g *Gate) respond(ctx context.Context, adm admittedRequest, out *answerWriter, span trace.Span) error {
	rs, err := g.startOrJoin(ctx, adm)
	if err != nil {
		return err
	}
	defer rs.addReader()()
	out.tier = rs.msg.Tier
	out.sendRequestID(rs.id)
	span.SetAttributes(observe.AttributeRequest.String(string(rs.id)))
	if adm.msg.Plain {
		return out.writeCall(ctx, rs)
	}
	return out.writeStream(ctx, rs)
}

// GetRequest returns the status of a request. It queries other hosts if this gate
// does not know the request.
func (a api) GetRequest(ctx context.Context, params callers.GetRequestParams) (*callers.RequestStatus, error) {
	id := tables.RequestID(params.ID)
	if _, err := id.Home(); err != nil {
		return nil, errkind.Wrap(err, errkind.MalformedRequest, "request ID")
	}
	customer := customerFrom(ctx)
	if rs := a.find(id); rs != nil && rs.msg.Customer == customer {
		return statusOf(rs.currentOutcome()), nil
	}
	o, err := a.lookup(ctx, id, customer)
	if err != nil {
		return nil, err
	}
	return statusOf(o), nil
}

// currentOutcome returns the state of a request of this gate in the form of a
// look-up response.
func (rs *requestState) currentOutcome() peer.Outcome {
	snap := rs.snapshotFrom(0)
	o := peer.Outcome{ID: rs.id, Known: true, Target: snap.target, Tokens: snap.tokens}
	if snap.outcome == nil {
		return o
	}
	o.Done = true
	o.Kind = snap.outcome.Kind
	o.Detail = snap.outcome.Detail
	if o.Kind != errkind.None {
		return o
	}
	o.BodyKept = true
	o.Body = snap.outcome.Body
	if !rs.msg.Plain {
		o.Body = rs.answerText()
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

// openState returns the state of a request without an outcome: queued until its
// target is known, then running.
func openState(o peer.Outcome) callers.RequestStatusState {
	if o.Target == "" {
		return callers.RequestStatusStateQueued
	}
	return callers.RequestStatusStateRunning
}

// NewError converts an error to the problem response of its kind.
func (a api) NewError(_ context.Context, err error) *callers.ProblemStatusCodeWithHeaders {
	kind, detail := classify(err)
	out := &callers.ProblemStatusCodeWithHeaders{
		StatusCode: kind.Answer().Status,
		Response:   callers.Problem{Kind: string(kind), Ran: callers.ProblemRan(kind.Answer().Ran), Detail: detail},
	}
	if wait := errkind.RetryAfterOf(err); wait > 0 {
		out.RetryAfter = callers.NewOptInt(ceilSeconds(wait))
		out.Response.RetryAfterMs = callers.NewOptInt(int(wait.Milliseconds()))
	}
	return out
}

// ceilSeconds rounds up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// classify returns the kind and the detail of an error, including errors of the
// generated server.
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

// Handler returns the HTTP handler of the callers' API.
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
	return g.limitBody(server), nil
}

// limitBody limits the size of request bodies and adds the caller's trace context
// to the request context.
func (g *Gate) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, g.maxBodyBytes())
		next.ServeHTTP(w, r.WithContext(extractTrace(r)))
	})
}

func (g *Gate) maxBodyBytes() int64 {
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
