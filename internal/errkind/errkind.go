// Package errkind holds the closed list of error kinds and the table from
// kind to the answer a caller gets. Every refusal and failure that leaves a
// bluebellseam process carries exactly one Kind.
package errkind

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Kind names one reason why a request did not produce a whole answer.
type Kind string

// The closed list of kinds.
const (
	// None is the zero Kind: the request succeeded.
	None Kind = ""

	MalformedRequest   Kind = "malformed_request"
	BodyTooLarge       Kind = "body_too_large"
	HeaderTooLarge     Kind = "header_too_large"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	UnknownService     Kind = "unknown_service"
	UnknownOperation   Kind = "unknown_operation"
	UnknownTier        Kind = "unknown_tier"
	UnknownRequest     Kind = "unknown_request"
	KeyRequired        Kind = "key_required"
	KeyMalformed       Kind = "key_malformed"
	KeyExpired         Kind = "key_expired"
	KeyReused          Kind = "key_reused"
	Quarantined        Kind = "quarantined"
	CustomerLimit      Kind = "customer_limit"
	Overloaded         Kind = "overloaded"
	Displaced          Kind = "displaced"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	NoTarget           Kind = "no_target"
	NotConfigured      Kind = "not_configured"
	ClaimsUnavailable  Kind = "claims_unavailable"
	ShuttingDown       Kind = "shutting_down"
	CancelledBeforeRun Kind = "cancelled_before_run"
	NotAdmitted        Kind = "not_admitted"
	VersionConflict    Kind = "version_conflict"
	InvalidConfig      Kind = "invalid_config"
	LogUnavailable     Kind = "log_unavailable"
	PatchUndecided     Kind = "patch_undecided"
	UnknownTarget      Kind = "unknown_target"
	UnknownQuarantine  Kind = "unknown_quarantine"
	RanFailed          Kind = "ran_failed"
	Preempted          Kind = "preempted"
	CancelledWhileRun  Kind = "cancelled_while_running"
	AnswerNotKept      Kind = "answer_not_kept"
	OutcomeUnknown     Kind = "outcome_unknown"
	RepeatBudget       Kind = "repeat_budget"
	Internal           Kind = "internal"
)

// Ran states whether a request ran at a target.
type Ran string

// The three answers to "did it run?".
const (
	RanNo      Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Answer is what a caller is told about a Kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran states whether the request ran.
	Ran Ran
	// RetryAfter is the default wait before sending again; zero means that
	// sending the same request again cannot help.
	RetryAfter time.Duration
	// Explanation is one sentence for the operator and the caller.
	Explanation string
}

// Default waits before a caller sends a refused request again.
const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

const statusClientClosedRequest = 499

var answers = map[Kind]Answer{
	None:               {http.StatusOK, RanYes, 0, "The request succeeded."},
	MalformedRequest:   {http.StatusBadRequest, RanNo, 0, "The request body or a parameter does not match the API schema."},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, RanNo, 0, "The request body exceeds the size limit of its service."},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, RanNo, 0, "The header exceeds the configured limit."},
	Unauthenticated:    {http.StatusUnauthorized, RanNo, 0, "The API key is missing or belongs to no customer or operator."},
	Forbidden:          {http.StatusForbidden, RanNo, 0, "The customer may not use this service or tier."},
	UnknownService:     {http.StatusNotFound, RanNo, 0, "No service of this name exists in the configuration in force."},
	UnknownOperation:   {http.StatusNotFound, RanNo, 0, "The service has no operation of this name."},
	UnknownTier:        {http.StatusBadRequest, RanNo, 0, "No tier of this name exists in the configuration in force."},
	UnknownRequest:     {http.StatusNotFound, RanUnknown, 0, "No host that could be reached knows a request of this ID."},
	KeyRequired:        {http.StatusBadRequest, RanNo, 0, "A non-idempotent call needs an Idempotency-Key."},
	KeyMalformed:       {http.StatusBadRequest, RanNo, 0, "The Idempotency-Key is neither a UUID of version 7 nor a key that a host made, or the operation takes no such key."},
	KeyExpired:         {http.StatusConflict, RanNo, 0, "The Idempotency-Key is older than the lifetime of its service, or the process that made it has ended; this attempt did not run."},
	KeyReused:          {http.StatusUnprocessableEntity, RanNo, 0, "The Idempotency-Key was used before with another body; this attempt did not run."},
	Quarantined:        {http.StatusUnprocessableEntity, RanNo, 0, "Requests with this content crashed targets and are quarantined."},
	CustomerLimit:      {http.StatusTooManyRequests, RanNo, retrySoon, "The customer's limit is used up."},
	Overloaded:         {http.StatusServiceUnavailable, RanNo, retryLater, "All fitting targets are busy with requests of this tier or higher."},
	Displaced:          {http.StatusServiceUnavailable, RanNo, retryLater, "A request of a higher tier took the place in the queue."},
	DeadlineUnmeetable: {http.StatusServiceUnavailable, RanNo, retryLater, "The answer could not have been finished before its deadline."},
	NoTarget:           {http.StatusServiceUnavailable, RanNo, retryLater, "No live target serves this service now."},
	NotConfigured:      {http.StatusServiceUnavailable, RanNo, retrySoon, "The host has not yet read the configuration."},
	ClaimsUnavailable:  {http.StatusServiceUnavailable, RanNo, retryLater, "The log cannot record the Idempotency-Key now."},
	ShuttingDown:       {http.StatusServiceUnavailable, RanNo, retrySoon, "The host is shutting down; another host takes the request."},
	CancelledBeforeRun: {statusClientClosedRequest, RanNo, 0, "The caller cancelled the request before it ran."},
	NotAdmitted:        {http.StatusServiceUnavailable, RanNo, retrySoon, "The target refused the request before running it."},
	VersionConflict:    {http.StatusConflict, RanNo, 0, "The base version of the patch is not the version in force."},
	InvalidConfig:      {http.StatusUnprocessableEntity, RanNo, 0, "The patched configuration does not validate."},
	LogUnavailable:     {http.StatusServiceUnavailable, RanNo, retryLater, "The log service cannot be reached."},
	PatchUndecided:     {http.StatusAccepted, RanUnknown, retrySoon, "The log has not confirmed the patch; publish again with the same patch ID."},
	UnknownTarget:      {http.StatusNotFound, RanNo, 0, "No target of this name exists in the configuration in force."},
	UnknownQuarantine:  {http.StatusNotFound, RanNo, 0, "No quarantine entry has this fingerprint."},
	RanFailed:          {http.StatusBadGateway, RanYes, 0, "The request ran and its target failed before the whole answer."},
	Preempted:          {http.StatusServiceUnavailable, RanYes, retryLater, "The request was stopped while running so that a higher tier could run."},
	CancelledWhileRun:  {statusClientClosedRequest, RanYes, 0, "The caller left while the request was running."},
	AnswerNotKept:      {http.StatusGone, RanYes, 0, "The request ran to its end and its answer is no longer kept."},
	OutcomeUnknown:     {http.StatusGatewayTimeout, RanUnknown, 0, "The request may have run; look its outcome up by its ID and do not send it again."},
	RepeatBudget:       {http.StatusServiceUnavailable, RanNo, retrySoon, "The request could not be sent again: repeats of its service are above their budget."},
	Internal:           {http.StatusInternalServerError, RanUnknown, 0, "An internal invariant failed; the log has the details."},
}

// Kinds returns every kind but None, in no fixed order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(answers))
	for k := range answers {
		if k != None {
			all = append(all, k)
		}
	}
	return all
}

// Valid reports whether k is in the closed list.
func (k Kind) Valid() bool {
	_, ok := answers[k]
	return ok
}

// Answer returns the answer for k; a kind outside the list answers as Internal.
func (k Kind) Answer() Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// Error is a failure of one kind with its cause.
type Error struct {
	// Kind is the failure's place in the closed list.
	Kind Kind
	// Detail is one line for the reader: what was wrong with which value.
	Detail string
	// RetryAfter overrides the default of the kind when it is positive.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k.
func New(k Kind, detail string) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail})
}

// NewRetry returns an error of kind k that advises when to send again; zero
// means the default of the kind.
func NewRetry(k Kind, detail string, after time.Duration) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail, RetryAfter: after})
}

// AdviceOf returns the wait that err itself advises, zero when it leaves that
// to its kind.
func AdviceOf(err error) time.Duration {
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// Wrap returns an error of kind k that was caused by err.
func Wrap(err error, k Kind, detail string) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail, cause: err})
}

// Error returns kind, detail and cause in one line.
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

// Of returns the kind of err: None for nil and Internal for an error without one.
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

// DetailOf returns the detail line of err, or its text when it has no kind.
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

// RetryAfterOf returns the wait before sending again, or zero.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(trace.Unwrap(err), &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Of(err).Answer().RetryAfter
}
