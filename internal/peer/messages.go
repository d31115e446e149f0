// Package peer implements the protocol between bluebellseam's processes: typed messages
// over JSON-RPC 2.0 on TCP.
package peer

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Methods that a dispatcher serves.
const (
	MethodHello          = "peer.hello"
	MethodHeartbeat      = "peer.heartbeat"
	MethodSubmit         = "dispatcher.submit"
	MethodCancel         = "dispatcher.cancel"
	MethodAttach         = "dispatcher.attach"
	MethodLookup         = "request.lookup"
	MethodAcquire        = "claim.acquire"
	MethodRecord         = "claim.record"
	MethodMint           = "claim.mint"
	MethodConfig         = "config.fetch"
	MethodShare          = "quarantine.share"
	MethodDemand         = "dispatcher.demand"
	MethodConfirmRefusal = "dispatcher.sweep"
)

// Notifications from a dispatcher to a gate.
const (
	// NotifyStarted reports the target of a request before the request is sent to it.
	NotifyStarted = "request.started"
	// NotifyChunk delivers a chunk of the response.
	NotifyChunk = "request.chunk"
	// NotifyFinished reports the end of a request.
	NotifyFinished = "request.finished"
)

// Hello is the first message on a connection. It authenticates the sender.
type Hello struct {
	Host tables.HostID `json:"host"`
	// Role is "gate", "dispatcher", "controller" or "edge".
	Role string `json:"role"`
	// Key is the key that all peers share.
	Key string `json:"key"`
	// Fleet is the identity of the sender's fleet, and Store the address of its store. They are
	// empty in messages of the build before and of processes that have no Mux.Admit.
	Fleet string `json:"fleet,omitempty"`
	Store string `json:"store,omitempty"`
	// Incarnation is the latest one of the store that the sender knows to have held the identity.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Submit passes a request to a dispatcher. A SubmitResult with a kind proves that the
// dispatcher has not sent the request and will not send it.
type Submit struct {
	ID          tables.RequestID   `json:"id"`
	Customer    tables.CustomerID  `json:"customer"`
	Service     tables.ServiceID   `json:"service"`
	Operation   string             `json:"operation,omitempty"`
	Fingerprint tables.Fingerprint `json:"fingerprint"`
	Tier        int                `json:"tier"`
	// Share is the weight of the customer within the tier.
	Share float64 `json:"share"`
	// Plain is true for a call of a plain service, which has no tokens.
	Plain         bool `json:"plain,omitempty"`
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Age is the time since the gate accepted the request. FirstTokenIn and DueIn are
	// the times left for the first token and for the complete response. All are
	// relative to the time of sending, so that the clocks of hosts need not agree.
	Age          time.Duration     `json:"age"`
	FirstTokenIn time.Duration     `json:"first_token_in"`
	DueIn        time.Duration     `json:"due_in"`
	Model        string            `json:"model,omitempty"`
	Adapter      string            `json:"adapter,omitempty"`
	Body         []byte            `json:"body"`
	MaxTokens    int               `json:"max_tokens,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	Allowed      []tables.TargetID `json:"allowed"`
	// Key is the idempotency key, if the caller set one.
	Key string `json:"key,omitempty"`
	// Addresses are the addresses of the allowed targets when the key was claimed, or
	// as the gate knows them if there is no key. The request is sent to no other
	// address.
	Addresses map[tables.TargetID]string `json:"addresses,omitempty"`
	// SendBy is the latest time at which a keyed request may be sent. It is an
	// absolute time on the hosts' clocks, so that neither a paused process nor a
	// delayed message extends it.
	SendBy time.Time         `json:"send_by,omitzero"`
	Trace  map[string]string `json:"trace,omitempty"`
	// Attempt is the number of the submission of the request, starting at one.
	Attempt int `json:"attempt,omitempty"`
}

// SubmitResult is the response to Submit.
type SubmitResult struct {
	Kind       errkind.Kind           `json:"kind,omitempty"`
	Detail     string                 `json:"detail,omitempty"`
	RetryAfter time.Duration          `json:"retry_after,omitempty"`
	Pool       []tables.TargetSummary `json:"pool,omitempty"`
}

// Started reports the target of a request to its gate.
type Started struct {
	ID     tables.RequestID `json:"id"`
	Target tables.TargetID  `json:"target"`
}

// Chunk delivers a chunk of the response to a gate.
type Chunk struct {
	ID    tables.RequestID `json:"id"`
	Chunk target.Chunk     `json:"chunk"`
}

// Finished reports the end of a request to its gate.
type Finished struct {
	ID     tables.RequestID `json:"id"`
	Kind   errkind.Kind     `json:"kind,omitempty"`
	Detail string           `json:"detail,omitempty"`
	// RetryAfter is the advised retry delay of a refusal; zero means the default.
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Target     tables.TargetID `json:"target,omitempty"`
	Tokens     int             `json:"tokens,omitempty"`
	Status     int             `json:"status,omitempty"`
	Body       []byte          `json:"body,omitempty"`
	// Sent is true if a byte of the request may have reached a target. If it is false,
	// a refused request may be submitted to another dispatcher.
	Sent bool                   `json:"sent,omitempty"`
	Pool []tables.TargetSummary `json:"pool,omitempty"`
}

// Retryable reports whether the request may be submitted to another dispatcher: it did
// not run, no byte of it can have reached a target, and another dispatcher may decide
// differently.
func (f Finished) Retryable() bool {
	final := f.Kind == errkind.Quarantined || f.Kind == errkind.CancelledBeforeRun
	return !f.Sent && !final && f.Kind.Answer().Ran == errkind.RanNo
}

// RefusalRequest asks a dispatcher whether a request of a tier may be refused for lack of
// capacity at some targets. The dispatcher considers only those that it owns. If it
// permits the refusal, it also blocks less urgent tiers at these targets for a while.
type RefusalRequest struct {
	Tier    int               `json:"tier"`
	Targets []tables.TargetID `json:"targets"`
}

// RefusalResult is the response to RefusalRequest.
type RefusalResult struct {
	// AllowRefusal is true if the request may be refused: no request of a less urgent tier
	// is running or queued at any of the targets.
	AllowRefusal bool `json:"give_up"`
}

// CancelRequest cancels a request at its dispatcher and target.
type CancelRequest struct {
	ID tables.RequestID `json:"id"`
	// Targets are contacted directly if the dispatcher does not know the request.
	Targets []tables.TargetID `json:"targets,omitempty"`
	// Addresses are the addresses at which the targets may have received the request.
	// A target without one is contacted at its configured address.
	Addresses map[tables.TargetID]string `json:"addresses,omitempty"`
}

// CancelResult is the response to CancelRequest. It states what is proved about the
// request.
type CancelResult struct {
	Progress target.Progress `json:"progress"`
	Target   tables.TargetID `json:"target,omitempty"`
}

// Attach subscribes to the stream of a dispatch, starting at a token offset.
type Attach struct {
	ID     tables.RequestID `json:"id"`
	Target tables.TargetID  `json:"target"`
	// Address is the address at which the target may have received the request; empty
	// means its configured address.
	Address string `json:"address,omitempty"`
	Offset  int    `json:"offset"`
	// Attempt is the number of the submission that the gate waits for; a refusal of an
	// earlier submission does not apply to it. Zero means any submission.
	Attempt int `json:"attempt,omitempty"`
	// ReceivedText is the part of the response before Offset.
	ReceivedText string `json:"text,omitempty"`
	// Customer, Service, Tier, Fingerprint and Key describe the request for a
	// dispatcher that takes it over.
	Customer    tables.CustomerID  `json:"customer,omitempty"`
	Service     tables.ServiceID   `json:"service,omitempty"`
	Tier        int                `json:"tier,omitempty"`
	Fingerprint tables.Fingerprint `json:"fingerprint,omitempty"`
	Key         string             `json:"key,omitempty"`
}

// AttachResult is the response to Attach. If Known is true, the chunks of the response
// from the offset on follow as notifications on the same connection.
type AttachResult struct {
	Known bool `json:"known"`
	// Progress is the progress that the target reports if the dispatcher does not know
	// the dispatch.
	Progress target.Progress `json:"progress,omitempty"`
}

// Lookup requests the state of a request from a host.
type Lookup struct {
	ID tables.RequestID `json:"id"`
	// Customer limits the result to requests of this customer; empty for an operator
	// or a peer.
	Customer tables.CustomerID `json:"customer,omitempty"`
}

// Outcome is the state of a request as known to a host.
type Outcome struct {
	ID tables.RequestID `json:"id"`
	// Known is false if the host has no record of the request.
	Known bool `json:"known"`
	// Done is false while the request is queued or running.
	Done   bool            `json:"done"`
	Kind   errkind.Kind    `json:"kind,omitempty"`
	Detail string          `json:"detail,omitempty"`
	Target tables.TargetID `json:"target,omitempty"`
	Status int             `json:"status,omitempty"`
	// Body is the complete response if BodyKept is true.
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"body_kept,omitempty"`
	// Provisional is true if the outcome is a refusal by one dispatcher before the
	// request was sent. The gate may still submit the request to another dispatcher.
	Provisional bool   `json:"provisional,omitempty"`
	Tokens      int    `json:"tokens,omitempty"`
	TraceID     string `json:"trace_id,omitempty"`
	// Key is the idempotency key that the request claimed, if it has one.
	Key string `json:"key,omitempty"`
}

// Acquire claims an idempotency key at its home for a request.
type Acquire struct {
	Customer    tables.CustomerID  `json:"customer"`
	Service     tables.ServiceID   `json:"service"`
	Key         string             `json:"key"`
	Request     tables.RequestID   `json:"request"`
	Fingerprint tables.Fingerprint `json:"fingerprint"`
	// Lifetime is the maximum age of the key; zero means the maximum that the home
	// allows.
	Lifetime time.Duration `json:"lifetime,omitempty"`
	// TargetsDigest is claim.TargetsDigest of all targets to which Request may be
	// dispatched; zero if the gate does not state it.
	TargetsDigest uint64 `json:"targets_digest,omitempty"`
}

// AcquireResult is the response to Acquire.
type AcquireResult struct {
	// Kind is ClaimsUnavailable, KeyExpired, KeyReused or empty.
	Kind   errkind.Kind `json:"kind,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// Freed is set together with ClaimsUnavailable if another request held the key and
	// has since released it; the key may be claimed at once with another request ID.
	Freed bool `json:"freed,omitempty"`
	// Won is true if Acquire.Request holds the key; only the holder may be dispatched.
	Won bool `json:"won"`
	// Holder is the request that holds the key.
	Holder tables.RequestID `json:"holder,omitempty"`
	// Outcome is the recorded outcome of the holder; nil if there is none.
	Outcome *Outcome `json:"outcome,omitempty"`
	// RetryAfter is set together with ClaimsUnavailable; zero means the default.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// TargetsDigest is Acquire.TargetsDigest of the holder's claim.
	TargetsDigest uint64 `json:"targets_digest,omitempty"`
	// HeldSince is the log's timestamp of the holder's claim; zero if there is no
	// holder.
	HeldSince time.Time `json:"held_since,omitzero"`
}

// Minted is the response to MethodMint. Only the process that minted the key decides
// claims for it.
type Minted struct {
	Key string `json:"key"`
}

// Record stores the outcome of the request that holds a key. The key is freed if the
// outcome proves that the request has not run.
type Record struct {
	Customer tables.CustomerID `json:"customer"`
	Service  tables.ServiceID  `json:"service"`
	Key      string            `json:"key"`
	Outcome  Outcome           `json:"outcome"`
}

// Heartbeat is exchanged both ways between peers.
type Heartbeat struct {
	Host          tables.HostID          `json:"host"`
	Incarnation   int64                  `json:"incarnation"`
	Leaving       bool                   `json:"leaving,omitempty"`
	Reach         tables.Reach           `json:"reach,omitzero"`
	ConfigVersion uint64                 `json:"config_version"`
	ConfigDigest  uint64                 `json:"config_digest"`
	Pool          []tables.TargetSummary `json:"pool,omitempty"`
	// Sequence is incremented to refute reports that the sender is down.
	Sequence uint32 `json:"sequence,omitempty"`
	// Reports are membership updates about hosts.
	Reports []tables.MemberReport `json:"reports,omitempty"`
	// WantAllReports asks that Reports in the response cover every host.
	WantAllReports bool `json:"want_all,omitempty"`
	// LowestConfigVersion is the lowest configuration version that a process of the host
	// has reported as in force.
	LowestConfigVersion uint64 `json:"lowest_version,omitempty"`
	// UnreportedRoles are the roles of the host's processes that have not reported a
	// configuration version.
	UnreportedRoles []string `json:"unheard,omitempty"`
}

// DemandRequest requests the demand at a dispatcher's targets.
type DemandRequest struct{}

// Demand is the requested work for each service, in tokens per second.
type Demand struct {
	Rates demand.Rates `json:"rates"`
}

// ConfigRequest requests the configuration of a peer.
type ConfigRequest struct {
	// Have is the version that the requester has.
	Have uint64 `json:"have"`
}

// ConfigState is a peer's configuration in force. Snapshot is empty if the requester
// has the same version.
type ConfigState struct {
	Version  uint64 `json:"version"`
	Digest   uint64 `json:"digest"`
	Snapshot []byte `json:"snapshot,omitempty"`
}

// QuarantineEntry holds the crashes recorded for a fingerprint and its release by an
// operator, if any. The fingerprint's requests are refused only after several crashes.
type QuarantineEntry struct {
	Fingerprint tables.Fingerprint `json:"fingerprint"`
	Customer    tables.CustomerID  `json:"customer"`
	Service     tables.ServiceID   `json:"service"`
	// Crashes is the number of target crashes while a request with the fingerprint
	// was in flight.
	Crashes int `json:"crashes"`
	// Expires is when the entry expires.
	Expires time.Time `json:"expires"`
	// Released is when an operator released the entry; zero if none has.
	Released time.Time `json:"released,omitzero"`
	// CrashedAt lists the latest crashes.
	CrashedAt []TargetCrash `json:"crashed_at,omitempty"`
}

// TargetCrash is one crash of a target.
type TargetCrash struct {
	Target tables.TargetID `json:"target"`
	Time   time.Time       `json:"time"`
	// Request is the request, with the entry's fingerprint, that was running at the
	// target when it crashed. A request is dispatched only once, so its ID identifies
	// the crash.
	Request tables.RequestID `json:"request"`
}

// Share distributes quarantine entries between peers.
type Share struct {
	Entries []QuarantineEntry `json:"entries"`
}
