// Package config is the dynamic configuration: the document that operators
// publish in patches, its validation, and the fold of log records into
// numbered versions.
package config

// Version numbers accepted configurations, from 1; zero means none.
type Version uint64

// Document is one whole configuration. Maps are keyed by name, so that an
// RFC 7386 merge patch addresses one entry without its neighbours.
type Document struct {
	Tiers       map[string]Tier       `json:"tiers,omitempty"`
	Customers   map[string]Customer   `json:"customers,omitempty"`
	Services    map[string]Service    `json:"services,omitempty"`
	Targets     map[string]Target     `json:"targets,omitempty"`
	Generations map[string]Generation `json:"generations,omitempty"`
	Operators   map[string]Operator   `json:"operators,omitempty"`
	Limits      Limits                `json:"limits,omitzero"`
}

// Tier is a class of urgency.
type Tier struct {
	// Rank orders tiers; 0 is the most urgent.
	Rank int `json:"rank"`
	// FirstTokenMillis is the deadline of the first byte after arrival.
	FirstTokenMillis int `json:"first_token_ms"`
	// DeadlineMillis is the deadline of the whole answer after arrival.
	DeadlineMillis int `json:"deadline_ms"`
}

// Customer is a party that sends requests.
type Customer struct {
	// KeySHA256 maps a key's label to the hex SHA-256 of the key. Several
	// labels may be valid at once, so that keys rotate without a gap.
	KeySHA256 map[string]string `json:"key_sha256,omitempty"`
	// Share weighs the customer against others of the same tier.
	Share float64 `json:"share"`
	// MaxInFlight bounds open requests at one gate; zero means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// TokensPerSecond bounds prompt and answer tokens; zero means no bound.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Tiers lists the tiers that the customer may use; empty means all.
	Tiers []string `json:"tiers,omitempty"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a name that callers send requests to.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Model is the model name of a model service.
	Model string `json:"model,omitempty"`
	// Adapter is the adapter that the model service needs loaded, if any.
	Adapter string `json:"adapter,omitempty"`
	// Tier is the tier of requests that name none.
	Tier string `json:"tier"`
	// Operations are the calls of a plain service by name.
	Operations map[string]Operation `json:"operations,omitempty"`
	// MaxBodyBytes bounds a request body; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// KeyLifetimeSeconds bounds the age of an idempotency key; zero means
	// DefaultKeyLifetime.
	KeyLifetimeSeconds int `json:"key_lifetime_s,omitempty"`
}

// Operation is one call of a plain service.
type Operation struct {
	// NonIdempotent marks a call that must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// Target is a back end that serves requests.
type Target struct {
	// Address is host:port by IP number.
	Address string `json:"address"`
	// FailureDomain is where the target runs.
	FailureDomain string `json:"failure_domain"`
	// Generation names the hardware generation of a model engine.
	Generation string `json:"generation,omitempty"`
	// Services lists the services that the target may serve.
	Services []string `json:"services"`
	// ChecksFencing states that the target refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// WindowMin and WindowMax bound the requests sent to the target at once.
	WindowMin int `json:"window_min,omitempty"`
	WindowMax int `json:"window_max,omitempty"`
	// Drained keeps new work off the target.
	Drained bool `json:"drained,omitempty"`
	// ModelSlots bounds the models that a model engine holds at once; zero
	// means that it holds those of all its services.
	ModelSlots int `json:"model_slots,omitempty"`
	// ModelVersion is the version of the models that the engine shall hold.
	ModelVersion string `json:"model_version,omitempty"`
	// Role is "mixed", "prefill" or "decode"; empty means "mixed".
	Role string `json:"role,omitempty"`
}

// Generation is a class of accelerators of like speed.
type Generation struct {
	// PrefillTokensPerSecond is the prompt throughput of one engine.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// StepMillis is the time of one decode step at batch size one.
	StepMillis float64 `json:"step_ms"`
	// StepMillisPerSequence is added to the step time by each sequence.
	StepMillisPerSequence float64 `json:"step_ms_per_sequence"`
}

// Operator is a person or program that publishes configuration.
type Operator struct {
	KeySHA256 map[string]string `json:"key_sha256,omitempty"`
}

// Limits bound what the whole system takes in.
type Limits struct {
	// MaxQueuedPerTarget bounds the queue in front of one target.
	MaxQueuedPerTarget int `json:"max_queued_per_target,omitempty"`
	// WeightLoadsAtOnce bounds concurrent loads from the weight store.
	WeightLoadsAtOnce int `json:"weight_loads_at_once,omitempty"`
}
