// Package peer is the protocol between bluebellseam's processes: typed
// messages over JSON-RPC 2.0 on TCP.
package peer

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Methods of a dispatcher.
const (
	MethodHello     = "peer.hello"
	MethodHeartbeat = "peer.heartbeat"
	MethodSubmit    = "dispatcher.submit"
	MethodCancel    = "dispatcher.cancel"
	MethodAttach    = "dispatcher.attach"
	MethodLookup    = "request.lookup"
	MethodAcquire   = "claim.acquire"
	MethodRecord    = "claim.record"
	MethodMint      = "claim.mint"
	MethodConfig    = "config.fetch"
	MethodShare     = "quarantine.share"
	MethodDemand    = "dispatcher.demand"
	MethodSweep     = "dispatcher.sweep"
)

// Notifications from a dispatcher to a gate.
const (
	// NotifyStarted tells the target before the request is sent to it.
	NotifyStarted = "request.started"
	// NotifyChunk carries a part of an answer.
	NotifyChunk = "request.chunk"
	// NotifyFinished ends a request.
	NotifyFinished = "request.finished"
)

// Hello opens a connection.
type Hello struct {
	Host tables.HostID `json:"host"`
	// Role is "gate", "dispatcher" or "controller".
	Role string `json:"role"`
	// Key is the shared key of the peers.
	Key string `json:"key"`
}

// Submit hands a request to a dispatcher. A result with a kind proves that the
// dispatcher has not sent it and will not send it.
type Submit struct {
	ID            tables.RequestID   `json:"id"`
	Customer      tables.CustomerID  `json:"customer"`
	Service       tables.ServiceID   `json:"service"`
	Operation     string             `json:"operation,omitempty"`
	Fingerprint   tables.Fingerprint `json:"fingerprint"`
	Tier          int                `json:"tier"`
	Share         float64            `json:"share"`
	Plain         bool               `json:"plain,omitempty"`
	NonIdempotent bool               `json:"non_idempotent,omitempty"`
	// Age, FirstTokenIn and DueIn are durations at the time of sending, so
	// that clocks of hosts need not agree.
	Age          time.Duration     `json:"age"`
	FirstTokenIn time.Duration     `json:"first_token_in"`
	DueIn        time.Duration     `json:"due_in"`
	Model        string            `json:"model,omitempty"`
	Adapter      string            `json:"adapter,omitempty"`
	Body         []byte            `json:"body"`
	MaxTokens    int               `json:"max_tokens,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	Allowed      []tables.TargetID `json:"allowed"`
	// Key is the idempotency key, if the caller gave one.
	Key string `json:"key,omitempty"`
	// Addresses are those of the allowed targets when the key was claimed; a
	// keyed request is sent to no other address.
	Addresses map[tables.TargetID]string `json:"addresses,omitempty"`
	// SendBy is when a keyed request may be sent at the latest, by the clocks of
	// hosts, so that no pause and no late message prolongs it.
	SendBy time.Time         `json:"send_by,omitzero"`
	Trace  map[string]string `json:"trace,omitempty"`
	// Attempt numbers the submissions of a request from one.
	Attempt int `json:"attempt,omitempty"`
}

// SubmitResult answers Submit.
type SubmitResult struct {
	Kind       errkind.Kind         `json:"kind,omitempty"`
	Detail     string               `json:"detail,omitempty"`
	RetryAfter time.Duration        `json:"retry_after,omitempty"`
	Pool       []tables.PoolSummary `json:"pool,omitempty"`
}

// Started tells a gate where its request goes.
type Started struct {
	ID     tables.RequestID `json:"id"`
	Target tables.TargetID  `json:"target"`
}

// Chunk carries a part of an answer.
type Chunk struct {
	ID    tables.RequestID `json:"id"`
	Chunk target.Chunk     `json:"chunk"`
}

// Finished ends a request.
type Finished struct {
	ID     tables.RequestID `json:"id"`
	Kind   errkind.Kind     `json:"kind,omitempty"`
	Detail string           `json:"detail,omitempty"`
	// RetryAfter is the advice of a refusal; zero means the default.
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Target     tables.TargetID `json:"target,omitempty"`
	Tokens     int             `json:"tokens,omitempty"`
	Status     int             `json:"status,omitempty"`
	Body       []byte          `json:"body,omitempty"`
	// Sent is set when a byte may have reached a target; without it a refused
	// request may be submitted elsewhere.
	Sent bool                 `json:"sent,omitempty"`
	Pool []tables.PoolSummary `json:"pool,omitempty"`
}

// Retryable reports whether the request may be submitted elsewhere: it did not
// run, no byte of it can have reached a target, and another dispatcher may
// answer differently.
func (f Finished) Retryable() bool {
	final := f.Kind == errkind.Quarantined || f.Kind == errkind.CancelledBeforeRun
	return !f.Sent && !final && f.Kind.Answer().Ran == errkind.RanNo
}

// Sweep asks a dispatcher whether a request of a tier may be refused for want of
// room, as far as its own ones of the targets are concerned.
type Sweep struct {
	Tier    int               `json:"tier"`
	Targets []tables.TargetID `json:"targets"`
}

// SweepResult answers MethodSweep.
type SweepResult struct {
	// GiveUp is false while a lower tier runs or queues at one of the targets.
	GiveUp bool `json:"give_up"`
}

// CancelRequest stops a request at its dispatcher and target.
type CancelRequest struct {
	ID tables.RequestID `json:"id"`
	// Targets are asked directly when the dispatcher does not know the ID.
	Targets []tables.TargetID `json:"targets,omitempty"`
}

// CancelResult states what is proved about a request.
type CancelResult struct {
	Progress target.Progress `json:"progress"`
	Target   tables.TargetID `json:"target,omitempty"`
}

// Attach asks a dispatcher for the stream of a dispatch from a token offset on.
type Attach struct {
	ID     tables.RequestID `json:"id"`
	Target tables.TargetID  `json:"target"`
	Offset int              `json:"offset"`
	// Attempt is the submission that the gate waits for; a refusal of an earlier
	// one says nothing of it. Zero means any.
	Attempt int `json:"attempt,omitempty"`
	// Text is the part of the answer before Offset.
	Text string `json:"text,omitempty"`
	// Customer, Service, Tier, Fingerprint and Key describe the request to a
	// dispatcher that takes it over.
	Customer    tables.CustomerID  `json:"customer,omitempty"`
	Service     tables.ServiceID   `json:"service,omitempty"`
	Tier        int                `json:"tier,omitempty"`
	Fingerprint tables.Fingerprint `json:"fingerprint,omitempty"`
	Key         string             `json:"key,omitempty"`
}

// AttachResult answers Attach. When Known is set, the parts of the answer from
// the offset on follow as notifications on the same connection.
type AttachResult struct {
	Known bool `json:"known"`
	// Progress is the target's word when the dispatch is not known here.
	Progress target.Progress `json:"progress,omitempty"`
}

// Lookup asks what a host knows of a request.
type Lookup struct {
	ID tables.RequestID `json:"id"`
	// Customer limits the answer to requests of this customer; empty for an
	// operator or a peer.
	Customer tables.CustomerID `json:"customer,omitempty"`
}

// Outcome is what a host knows of a request.
type Outcome struct {
	ID tables.RequestID `json:"id"`
	// Known is false when the host has never heard of the request.
	Known bool `json:"known"`
	// Done is false while the request is queued or running.
	Done   bool            `json:"done"`
	Kind   errkind.Kind    `json:"kind,omitempty"`
	Detail string          `json:"detail,omitempty"`
	Target tables.TargetID `json:"target,omitempty"`
	Status int             `json:"status,omitempty"`
	// Body is the whole answer when it is kept.
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"body_kept,omitempty"`
	// Provisional marks the refusal of one dispatcher, after which the gate
	// may have submitted the request elsewhere.
	Provisional bool   `json:"provisional,omitempty"`
	Tokens      int    `json:"tokens,omitempty"`
	TraceID     string `json:"trace_id,omitempty"`
	// Key is the idempotency key that the request claimed, if it has one.
	Key string `json:"key,omitempty"`
}

// Acquire asks the home of a key for the right to dispatch.
type Acquire struct {
	Customer    tables.CustomerID  `json:"customer"`
	Service     tables.ServiceID   `json:"service"`
	Key         string             `json:"key"`
	Request     tables.RequestID   `json:"request"`
	Fingerprint tables.Fingerprint `json:"fingerprint"`
	// Lifetime bounds the age of the key; zero means the home's maximum.
	Lifetime time.Duration `json:"lifetime,omitempty"`
	// TargetsDigest is claim.TargetsDigest of every target at which Request
	// may be dispatched; zero when the gate does not state it.
	TargetsDigest uint64 `json:"targets_digest,omitempty"`
}

// AcquireResult answers Acquire.
type AcquireResult struct {
	// Kind is ClaimsUnavailable, KeyExpired, KeyReused or empty.
	Kind   errkind.Kind `json:"kind,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// Freed is set with ClaimsUnavailable when the key has become free since
	// the claim met a holder; another request ID may claim it at once.
	Freed bool `json:"freed,omitempty"`
	// Won is set when Request holds the key; it alone may be dispatched.
	Won bool `json:"won"`
	// Holder is the request that holds the key.
	Holder tables.RequestID `json:"holder,omitempty"`
	// Outcome is the recorded outcome of the holder, if there is one.
	Outcome *Outcome `json:"outcome,omitempty"`
	// RetryAfter goes with ClaimsUnavailable; zero means the default.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// TargetsDigest is the one that the holder claimed with.
	TargetsDigest uint64 `json:"targets_digest,omitempty"`
	// HeldSince is the log's time of the holder's claim; zero without one.
	HeldSince time.Time `json:"held_since,omitzero"`
}

// Minted answers MethodMint with a key that the answering process alone decides
// about.
type Minted struct {
	Key string `json:"key"`
}

// Record writes the outcome of a key's holder. An outcome that proves "not
// run" frees the key.
type Record struct {
	Customer tables.CustomerID `json:"customer"`
	Service  tables.ServiceID  `json:"service"`
	Key      string            `json:"key"`
	Outcome  Outcome           `json:"outcome"`
}

// Heartbeat is exchanged both ways between peers.
type Heartbeat struct {
	Host          tables.HostID        `json:"host"`
	Incarnation   int64                `json:"incarnation"`
	Leaving       bool                 `json:"leaving,omitempty"`
	ConfigVersion uint64               `json:"config_version"`
	ConfigDigest  uint64               `json:"config_digest"`
	Pool          []tables.PoolSummary `json:"pool,omitempty"`
	// Sequence is raised to refute reports that the sender is down.
	Sequence uint32 `json:"sequence,omitempty"`
	// Reports are news about hosts.
	Reports []tables.MemberReport `json:"reports,omitempty"`
	// WantAll asks for a report on every host in the answer.
	WantAll bool `json:"want_all,omitempty"`
	// LowestVersion is the lowest configuration version in force in the
	// processes of the host that have been heard.
	LowestVersion uint64 `json:"lowest_version,omitempty"`
	// Unheard are the roles of the host's processes that have not been heard.
	Unheard []string `json:"unheard,omitempty"`
}

// DemandRequest asks a dispatcher for the work asked for at its targets.
type DemandRequest struct{}

// Demand is the work asked for by service, in tokens per second.
type Demand struct {
	Rates demand.Rates `json:"rates"`
}

// ConfigRequest asks a peer for its configuration.
type ConfigRequest struct {
	Have uint64 `json:"have"`
}

// ConfigState is a peer's configuration in force; Snapshot is empty when the
// asker has the same version.
type ConfigState struct {
	Version  uint64 `json:"version"`
	Digest   uint64 `json:"digest"`
	Snapshot []byte `json:"snapshot,omitempty"`
}

// QuarantineEntry is one fingerprint that is refused.
type QuarantineEntry struct {
	Fingerprint tables.Fingerprint `json:"fingerprint"`
	Customer    tables.CustomerID  `json:"customer"`
	Service     tables.ServiceID   `json:"service"`
	// Crashes counts the target crashes with the fingerprint in flight.
	Crashes int `json:"crashes"`
	// Expires is when the entry lapses.
	Expires time.Time `json:"expires"`
	// Released is when an operator lifted it; zero otherwise.
	Released time.Time `json:"released,omitzero"`
	// CrashedAt lists the latest of the crashes.
	CrashedAt []TargetCrash `json:"crashed_at,omitempty"`
}

// TargetCrash is one crash of a target.
type TargetCrash struct {
	Target tables.TargetID `json:"target"`
	Time   time.Time       `json:"time"`
	// Request is the request with the content that the target ran; a request
	// is dispatched once, so that it names the crash.
	Request tables.RequestID `json:"request"`
}

// Share spreads quarantine entries between peers.
type Share struct {
	Entries []QuarantineEntry `json:"entries"`
}
