// Package config defines the dynamic configuration: the document that operators
// change by publishing patches, its validation, and the state machine that
// applies log records to produce numbered versions.
package config

// Version is the number of an accepted configuration, starting at 1. Zero means
// that no configuration has been accepted.
type Version uint64

// Document is a complete configuration. Entries are stored in maps keyed by
// name, so that an RFC 7386 merge patch can change one entry without restating
// the others.
type Document struct {
	Tiers       map[string]Tier       `json:"tiers,omitempty"`
	Customers   map[string]Customer   `json:"customers,omitempty"`
	Services    map[string]Service    `json:"services,omitempty"`
	Targets     map[string]Target     `json:"targets,omitempty"`
	Generations map[string]Generation `json:"generations,omitempty"`
	Operators   map[string]Operator   `json:"operators,omitempty"`
	Limits      Limits                `json:"limits,omitzero"`
}

// Tier is a priority class of requests.
type Tier struct {
	// Rank orders tiers; 0 is the most urgent.
	Rank int `json:"rank"`
	// FirstTokenMillis is the maximum time from a request's arrival to the first
	// byte of its response, in milliseconds.
	FirstTokenMillis int `json:"first_token_ms"`
	// DeadlineMillis is the maximum time from a request's arrival to the end of
	// its complete response, in milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
}

// Customer is a party that sends requests.
type Customer struct {
	// KeySHA256 maps the label of an API key to the hex SHA-256 of the key. All
	// keys in the map are valid, so that a key can be rotated without downtime.
	KeySHA256 map[string]string `json:"key_sha256,omitempty"`
	// Share is the customer's weight relative to other customers of the same
	// tier.
	Share float64 `json:"share"`
	// MaxInFlight is the maximum number of the customer's open requests at one
	// gate; zero means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// TokensPerSecond is the maximum rate of prompt and response tokens; zero
	// means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Tiers lists the tiers that the customer may use; empty means all.
	Tiers []string `json:"tiers,omitempty"`
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// The kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a named destination of callers' requests.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Model is the model name of a model service.
	Model string `json:"model,omitempty"`
	// Adapter is the adapter that engines must have loaded to serve a model
	// service; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Tier is the tier of requests that do not specify one.
	Tier string `json:"tier"`
	// Operations are the operations of a plain service, keyed by name.
	Operations map[string]Operation `json:"operations,omitempty"`
	// MaxBodyBytes is the maximum size of a request body; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// KeyLifetimeSeconds is the maximum age of an idempotency key; zero means
	// DefaultKeyLifetime.
	KeyLifetimeSeconds int `json:"key_lifetime_s,omitempty"`
}

// Operation is an operation of a plain service.
type Operation struct {
	// NonIdempotent is set if a call of the operation must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// Target is a back end that serves requests.
type Target struct {
	// Address is an IP address and a port, as in "10.0.0.1:80".
	Address string `json:"address"`
	// FailureDomain is the failure domain in which the target runs.
	FailureDomain string `json:"failure_domain"`
	// Generation is the name of a model engine's hardware generation.
	Generation string `json:"generation,omitempty"`
	// Services lists the services that the target may serve.
	Services []string `json:"services"`
	// ChecksFencing is set if the target rejects old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// WindowMin and WindowMax are the bounds on the number of requests sent to
	// the target concurrently; see Window for the defaults.
	WindowMin int `json:"window_min,omitempty"`
	WindowMax int `json:"window_max,omitempty"`
	// Drained is set if the target must not receive new requests.
	Drained bool `json:"drained,omitempty"`
	// ModelSlots is the maximum number of models that a model engine has loaded
	// at the same time; zero means the models of all its services.
	ModelSlots int `json:"model_slots,omitempty"`
	// ModelVersion is the version of the models that the engine must load.
	ModelVersion string `json:"model_version,omitempty"`
	// Role is "mixed", "prefill" or "decode"; empty means "mixed".
	Role string `json:"role,omitempty"`
}

// Generation is a class of accelerators with the same performance.
type Generation struct {
	// PrefillTokensPerSecond is the prefill throughput of one engine.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// StepMillis is the duration of one decode step at batch size one.
	StepMillis float64 `json:"step_ms"`
	// StepMillisPerSequence is the time that each further sequence in the batch
	// adds to a decode step.
	StepMillisPerSequence float64 `json:"step_ms_per_sequence"`
}

// Operator is a person or program that publishes configuration.
type Operator struct {
	// KeySHA256 maps the label of an API key to the hex SHA-256 of the key.
	KeySHA256 map[string]string `json:"key_sha256,omitempty"`
}

// Limits are limits that apply to the whole deployment.
type Limits struct {
	// MaxQueuedPerTarget is the maximum number of requests queued for one
	// target; zero means DefaultMaxQueuedPerTarget.
	MaxQueuedPerTarget int `json:"max_queued_per_target,omitempty"`
	// WeightLoadsAtOnce is the maximum number of concurrent loads from the
	// weight store; zero means DefaultWeightLoadsAtOnce.
	WeightLoadsAtOnce int `json:"weight_loads_at_once,omitempty"`
}
