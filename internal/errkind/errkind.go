// Package errkind defines the closed set of error kinds and the answer that a
// caller gets for each. Every refusal and failure that a bluebellseam process
// returns carries exactly one Kind.
package errkind

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Kind is a reason why a request did not produce a complete answer.
type Kind string

// The closed set of kinds.
const (
	// None is the zero Kind; it means that the request succeeded.
	None Kind = ""

	MalformedRequest      Kind = "malformed_request"
	BodyTooLarge          Kind = "body_too_large"
	HeaderTooLarge        Kind = "header_too_large"
	Unauthenticated       Kind = "unauthenticated"
	Forbidden             Kind = "forbidden"
	UnknownService        Kind = "unknown_service"
	UnknownOperation      Kind = "unknown_operation"
	UnknownTier           Kind = "unknown_tier"
	UnknownRequest        Kind = "unknown_request"
	KeyRequired           Kind = "key_required"
	KeyMalformed          Kind = "key_malformed"
	KeyExpired            Kind = "key_expired"
	KeyReused             Kind = "key_reused"
	Quarantined           Kind = "quarantined"
	CustomerLimit         Kind = "customer_limit"
	HostFull              Kind = "host_full"
	BodyTimeout           Kind = "body_timeout"
	Overloaded            Kind = "overloaded"
	Displaced             Kind = "displaced"
	DeadlineUnmeetable    Kind = "deadline_unmeetable"
	NoTarget              Kind = "no_target"
	OriginUnknown         Kind = "origin_unknown"
	NotConfigured         Kind = "not_configured"
	ClaimsUnavailable     Kind = "claims_unavailable"
	ShuttingDown          Kind = "shutting_down"
	CancelledBeforeRun    Kind = "cancelled_before_run"
	NotAdmitted           Kind = "not_admitted"
	VersionConflict       Kind = "version_conflict"
	InvalidConfig         Kind = "invalid_config"
	LogUnavailable        Kind = "log_unavailable"
	PatchUndecided        Kind = "patch_undecided"
	UnknownTarget         Kind = "unknown_target"
	UnknownQuarantine     Kind = "unknown_quarantine"
	RanFailed             Kind = "ran_failed"
	Preempted             Kind = "preempted"
	CancelledWhileRunning Kind = "cancelled_while_running"
	AnswerNotKept         Kind = "answer_not_kept"
	OutcomeUnknown        Kind = "outcome_unknown"
	RetryBudget           Kind = "repeat_budget"
	Internal              Kind = "internal"
)

// RanState states whether a request ran at a target.
type RanState string

// Whether a request ran at a target.
const (
	RanNo      RanState = "not_run"
	RanYes     RanState = "ran"
	RanUnknown RanState = "unknown"
)

// Answer is what a caller gets for a Kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran states whether the request ran.
	Ran RanState
	// RetryAfter is the default delay before a retry; zero means that no retry is
	// advised.
	RetryAfter time.Duration
	// Explanation describes the kind in one sentence, for operators and callers.
	Explanation string
}

// Default delays before a caller retries a refused request.
const (
	shortRetryAfter = 1 * time.Second
	longRetryAfter  = 5 * time.Second
)

// statusClientClosedRequest is a non-standard status code, introduced by nginx.
const statusClientClosedRequest = 499

var answersByKind = map[Kind]Answer{
	None:                  {http.StatusOK, RanYes, 0, "The request succeeded."},
	MalformedRequest:      {http.StatusBadRequest, RanNo, 0, "The request body or a parameter does not match the API schema."},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, RanNo, 0, "The request body exceeds the size limit of its service."},
	HeaderTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, RanNo, 0, "The header exceeds the configured limit."},
	Unauthenticated:       {http.StatusUnauthorized, RanNo, 0, "The API key is missing or belongs to no customer or operator."},
	Forbidden:             {http.StatusForbidden, RanNo, 0, "The customer may not use this service or tier."},
	UnknownService:        {http.StatusNotFound, RanNo, 0, "No service of this name exists in the configuration in force."},
	UnknownOperation:      {http.StatusNotFound, RanNo, 0, "The service has no operation of this name."},
	UnknownTier:           {http.StatusBadRequest, RanNo, 0, "No tier of this name exists in the configuration in force."},
	UnknownRequest:        {http.StatusNotFound, RanUnknown, 0, "No host that could be reached knows a request of this ID."},
	KeyRequired:           {http.StatusBadRequest, RanNo, 0, "A non-idempotent call needs an Idempotency-Key."},
	KeyMalformed:          {http.StatusBadRequest, RanNo, 0, "The Idempotency-Key is neither a UUID of version 7 nor a key that a host made, or the operation takes no such key."},
	KeyExpired:            {http.StatusConflict, RanNo, 0, "The Idempotency-Key is older than the lifetime of its service, or the process that made it has ended; this attempt did not run."},
	KeyReused:             {http.StatusUnprocessableEntity, RanNo, 0, "The Idempotency-Key was used before with another body; this attempt did not run."},
	Quarantined:           {http.StatusUnprocessableEntity, RanNo, 0, "Requests with this content crashed targets and are quarantined."},
	CustomerLimit:         {http.StatusTooManyRequests, RanNo, shortRetryAfter, "The customer's limit is used up."},
	HostFull:              {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The host has no memory left for the request."},
	BodyTimeout:           {http.StatusRequestTimeout, RanNo, 0, "The request body arrived too slowly."},
	Overloaded:            {http.StatusServiceUnavailable, RanNo, longRetryAfter, "All fitting targets are busy with requests of this tier or higher."},
	Displaced:             {http.StatusServiceUnavailable, RanNo, longRetryAfter, "A request of a higher tier took the place in the queue."},
	DeadlineUnmeetable:    {http.StatusServiceUnavailable, RanNo, longRetryAfter, "The answer could not have been finished before its deadline."},
	NoTarget:              {http.StatusServiceUnavailable, RanNo, longRetryAfter, "No live target serves this service now."},
	OriginUnknown:         {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The stream goes on only at the software version that began it, which no host knows."},
	NotConfigured:         {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The host has not yet read the configuration."},
	ClaimsUnavailable:     {http.StatusServiceUnavailable, RanNo, longRetryAfter, "The log cannot record the Idempotency-Key now."},
	ShuttingDown:          {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The host is shutting down; another host takes the request."},
	CancelledBeforeRun:    {statusClientClosedRequest, RanNo, 0, "The caller cancelled the request before it ran."},
	NotAdmitted:           {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The target refused the request before running it."},
	VersionConflict:       {http.StatusConflict, RanNo, 0, "The base version of the patch is not the version in force."},
	InvalidConfig:         {http.StatusUnprocessableEntity, RanNo, 0, "The patched configuration does not validate."},
	LogUnavailable:        {http.StatusServiceUnavailable, RanNo, longRetryAfter, "The log service cannot be reached."},
	PatchUndecided:        {http.StatusAccepted, RanUnknown, shortRetryAfter, "The log has not confirmed the patch; publish again with the same patch ID."},
	UnknownTarget:         {http.StatusNotFound, RanNo, 0, "No target of this name exists in the configuration in force."},
	UnknownQuarantine:     {http.StatusNotFound, RanNo, 0, "No quarantine entry has this fingerprint."},
	RanFailed:             {http.StatusBadGateway, RanYes, 0, "The request ran and its target failed before the whole answer."},
	Preempted:             {http.StatusServiceUnavailable, RanYes, longRetryAfter, "The request was stopped while running so that a higher tier could run."},
	CancelledWhileRunning: {statusClientClosedRequest, RanYes, 0, "The caller left while the request was running."},
	AnswerNotKept:         {http.StatusGone, RanYes, 0, "The request ran to its end and its answer is no longer kept."},
	OutcomeUnknown:        {http.StatusGatewayTimeout, RanUnknown, 0, "The request may have run; look its outcome up by its ID and do not send it again."},
	RetryBudget:           {http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The request could not be sent again: repeats of its service are above their budget."},
	Internal:              {http.StatusInternalServerError, RanUnknown, 0, "An internal invariant failed; the log has the details."},
}

// Kinds returns all kinds except None, in unspecified order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(answersByKind))
	for k := range answersByKind {
		if k != None {
			all = append(all, k)
		}
	}
	return all
}

// Valid reports whether k is None or one of the kinds of this package.
func (k Kind) Valid() bool {
	_, ok := answersByKind[k]
	return ok
}

// Answer returns the answer for k. An invalid kind has the answer of Internal.
func (k Kind) Answer() Answer {
	if a, ok := answersByKind[k]; ok {
		return a
	}
	return answersByKind[Internal]
}

// Error is an error of one kind, optionally with a cause.
type Error struct {
	// Kind is one of the kinds of this package.
	Kind Kind
	// Detail is a one-line description: what is wrong with which value.
	Detail string
	// RetryAfter overrides the default of the kind if it is positive.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k.
func New(k Kind, detail string) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail})
}

// NewRetry returns an error of kind k with the delay before a retry; zero means
// the default of the kind. It captures no stack trace: it is the answer to requests that an
// overloaded host refuses.
func NewRetry(k Kind, detail string, after time.Duration) error {
	return &Error{Kind: k, Detail: detail, RetryAfter: after}
}

// ExplicitRetryAfterOf returns the retry delay that is set in err itself, or zero if the
// default of its kind applies.
func ExplicitRetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// Wrap returns an error of kind k with err as its cause.
func Wrap(err error, k Kind, detail string) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail, cause: err})
}

// Error returns the kind, detail and cause in one line.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err: None if err is nil, and Internal if it has no kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// DetailOf returns the detail of err, or its text if it has no kind.
func DetailOf(err error) string {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// RetryAfterOf returns the delay before a retry: the one set in err, or else the
// default of its kind, which may be zero.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(trace.Unwrap(err), &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Of(err).Answer().RetryAfter
}
