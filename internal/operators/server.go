package operators

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 1 << 20

// NewServer returns the HTTP handler of the operators' API. The handler limits the
// size of request bodies, extracts the trace context from the headers and reports
// errors as JSON problems.
func NewServer(h *Handler, keys *Keys, tracer trace.TracerProvider) (http.Handler, error) {
	server, err := api.NewServer(h, keys,
		api.WithTracerProvider(tracer),
		api.WithErrorHandler(writeProblem),
		api.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeProblem(r.Context(), w, r, errkind.New(errkind.MalformedRequest, "the operators' API has no path "+r.URL.Path))
		}),
	)
	if err != nil {
		return nil, err
	}
	traced := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		carrier := propagation.HeaderCarrier(r.Header)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), carrier)
		server.ServeHTTP(w, r.WithContext(ctx))
	})
	return http.MaxBytesHandler(traced, maxRequestBytes), nil
}

// NewError converts an error into an HTTP problem response. For a version conflict
// the problem includes the version in force.
func (h *Handler) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	p := problem(err)
	if errkind.Of(err) == errkind.VersionConflict {
		p.Response.Version = api.NewOptInt64(int64(h.Configuration.Current().Version))
	}
	return p
}

func problem(err error) *api.ProblemStatusCode {
	kind, detail := classify(err)
	return &api.ProblemStatusCode{
		StatusCode: kind.Answer().Status,
		Response: api.Problem{
			Kind:   string(kind),
			Ran:    api.ProblemRan(kind.Answer().Ran),
			Detail: detail,
		},
	}
}

// classify returns the kind and the detail of an error. It maps errors of the
// generated server, which have no kind, to the matching kind.
func classify(err error) (errkind.Kind, string) {
	var tooLarge *http.MaxBytesError
	var decoding ogenerrors.Error
	switch {
	case errkind.Of(err) != errkind.Internal:
		return errkind.Of(err), errkind.DetailOf(err)
	case errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied):
		return errkind.Unauthenticated, "the Authorization header carries no bearer key"
	case errors.As(err, &tooLarge):
		return errkind.BodyTooLarge, tooLarge.Error()
	case errors.As(err, &decoding):
		return errkind.MalformedRequest, decoding.Error()
	default:
		return errkind.Internal, errkind.DetailOf(err)
	}
}

func writeProblem(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := problem(err)
	data, encodeErr := json.Marshal(&p.Response)
	if encodeErr != nil {
		http.Error(w, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(data)
}
