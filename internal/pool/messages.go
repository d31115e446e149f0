// Package pool allocates slots at targets. One host, the coordinator, decides
// for all hosts. The others request slots from it and report the outcomes of
// their requests. A host that can reach no coordinator allocates a part of the
// slots itself.
package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods of the messages between a host and the coordinator.
const (
	methodRequestSlot = "pool.ask"
	methodReport      = "pool.report"
	methodReconcile   = "pool.adopt"
	// methodHost carries a hostMessage when the paths of a host have changed.
	methodHost = "pool.host"
	// methodEstimates carries allocation.Estimates from the coordinator to the
	// other hosts, any of which may become the next coordinator.
	methodEstimates = "pool.learned"
	// MethodOrigins carries an origin.Batch between hosts. The build before it sends what was granted
	// to streams with the method pool.origins, which is not used.
	MethodOrigins = "pool.begun"
	// methodLeave carries a leaveMessage when a host has changed to another coordinator.
	methodLeave = "pool.leave"
)

// slotRequestMessage requests a slot. Times are durations in milliseconds
// relative to the time of sending, so the clocks of hosts need not agree.
type slotRequestMessage struct {
	ID           allocation.ID     `json:"id"`
	Request      string            `json:"rq"`
	Host         tables.HostID     `json:"h"`
	Domain       tables.DomainID   `json:"d"`
	Service      tables.ServiceID  `json:"s"`
	Customer     tables.CustomerID `json:"c,omitempty"`
	Tier         int               `json:"t"`
	Urgency      int               `json:"y,omitempty"`
	PromptTokens int               `json:"p,omitempty"`
	// QuotaTokens is charged to the customer's quota.
	QuotaTokens       int   `json:"q,omitempty"`
	FirstByteBudgetMS int64 `json:"a"`
	EventGapSLOMS     int64 `json:"g,omitempty"`
	// MaxWaitMS bounds the wait for a slot.
	MaxWaitMS int64 `json:"w"`
	// Avoid lists targets that must not be granted.
	Avoid []tables.TargetID `json:"x,omitempty"`
	// Indirect is that of allocation.SlotRequest; the build before hostMessage sends it.
	Indirect []tables.TargetID `json:"i,omitempty"`
	// Fingerprint is the same for requests with the same content from the same
	// caller.
	Fingerprint tables.Fingerprint `json:"f,omitempty"`
	// Retry is true if the request has already been sent to a target.
	Retry bool `json:"r,omitempty"`
	// Resumable, Resumed, FirstAttempt and Version are those of SlotRequest.
	Resumable    bool                    `json:"rb,omitempty"`
	Resumed      bool                    `json:"rs,omitempty"`
	FirstAttempt string                  `json:"fa,omitempty"`
	Version      *tables.SoftwareVersion `json:"v,omitempty"`
	// Relayed is true if Version is that of events that the host has relayed. The build
	// before it also sends in Version what it has heard from other hosts.
	Relayed bool `json:"vr,omitempty"`
	// Heard is the version that began the stream as far as the host has heard from others. The build
	// before it sends a version that was granted to it, in vh.
	Heard *tables.SoftwareVersion `json:"vb,omitempty"`
	// Disputed is true if the host has heard of several versions.
	Disputed bool `json:"vd,omitempty"`
	// Again is that of SlotRequest. It is also true if an earlier coordinator was lost. Only
	// coordinators of the build before use it.
	Again bool `json:"ag,omitempty"`
	coordinatorUse
	// Route is the name of the route; empty unless a rollout of the service is in progress.
	Route string `json:"ro,omitempty"`
	// Tokens is nil unless the memory of targets is limited.
	Tokens *tokenCounts `json:"tk,omitempty"`
}

// setTimes sets the times that are left to a request that has waited for a while. A coordinator that
// is asked after another one was lost must not let it wait as long again.
func (m *slotRequestMessage) setTimes(r SlotRequest, waited time.Duration) {
	r.spend(waited)
	m.FirstByteBudgetMS, m.MaxWaitMS = r.FirstByteBudget.Milliseconds(), r.MaxWait.Milliseconds()
}

// addKnowledge adds what the host that asks has heard of the stream.
func (m *slotRequestMessage) addKnowledge(k origin.Knowledge) {
	m.Disputed = k.Disputed
	if k.Known {
		m.Heard = &k.Version
	}
}

// stream returns the stream that the request is part of; zero if it is not part of a
// resumable stream.
func (m slotRequestMessage) stream() origin.StreamID {
	return streamOf(m.Resumable, m.FirstAttempt, m.Request)
}

// streamOf returns the stream that a request is part of. firstAttempt is the request
// that began it; empty if that is the request itself.
func streamOf(resumable bool, firstAttempt, request string) origin.StreamID {
	switch {
	case !resumable:
		return 0
	case firstAttempt != "":
		return origin.StreamIDOf(firstAttempt)
	default:
		return origin.StreamIDOf(request)
	}
}

// grantMessage is the answer to a granted slot request.
type grantMessage struct {
	Target tables.TargetID `json:"t"`
	// ExpectedMS is the expected time from the grant to the first byte.
	ExpectedMS int64 `json:"e"`
	// Version is the software version of the target; nil from the build before it.
	Version *tables.SoftwareVersion `json:"v,omitempty"`
	// Through is that of allocation.Decision.
	Through []tables.HostID `json:"u,omitempty"`
	// Grantor is a number of the coordinator's process; zero from the build before it.
	Grantor uint64 `json:"gr,omitempty"`
	// Loads are the loads of customers; nil if they are unknown or too many to tell.
	Loads *customerLoads `json:"ld,omitempty"`
}

// hostMessage is what a host says of itself.
type hostMessage struct {
	Host   tables.HostID   `json:"h"`
	Domain tables.DomainID `json:"d"`
	Cores  float64         `json:"c"`
	Paths  reach.Report    `json:"p"`
}

// reportMessage carries first bytes and releases of grants.
type reportMessage struct {
	FirstBytes []firstByteReport `json:"f,omitempty"`
	Releases   []releaseReport   `json:"e,omitempty"`
	Limits     []limitReport     `json:"l,omitempty"`
}

type firstByteReport struct {
	ID     allocation.ID `json:"id"`
	TookMS float64       `json:"ms"`
	// Sender is the host that sent the request; empty if the one that holds the slot did.
	Sender tables.HostID `json:"v,omitempty"`
}

type releaseReport struct {
	ID      allocation.ID      `json:"id"`
	Service tables.ServiceID   `json:"s"`
	Outcome allocation.Outcome `json:"o"`
	// MeanEventGapMS is zero if unknown.
	MeanEventGapMS float64 `json:"g,omitempty"`
	// Sender is that of firstByteReport.
	Sender tables.HostID `json:"v,omitempty"`
	// Events is the number of events of a request that succeeded, where the memory of
	// targets is limited.
	Events int `json:"ev,omitempty"`
}

// reconcileMessage lists the slots that a host holds and the tokens that its
// customers used recently.
type reconcileMessage struct {
	Host       tables.HostID                 `json:"h"`
	Open       []openGrant                   `json:"open,omitempty"`
	UsedTokens map[tables.CustomerID]float64 `json:"tokens,omitempty"`
	// UsageWindowMS is the length of the period that UsedTokens covers; it ends
	// when the message is sent.
	UsageWindowMS int64 `json:"over"`
	// HostCount is the number of hosts of the deployment; zero if the sender does not know it.
	HostCount int `json:"hosts"`
	// Limits are those that targets have named to the sender.
	Limits []limitReport `json:"limits,omitempty"`
	// State is what the host says of itself; nil from the build before it.
	State *hostMessage `json:"state,omitempty"`
	// SlotTime is the slot time that customers have used through the host within the last
	// fairshare.Window, up to maxSlotTimeReports entries; none from the build before it.
	SlotTime []slotTimeReport `json:"slot_time,omitempty"`
	// Use is the use of quotas by coordinator and time; nil from the build before it.
	Use *useReport `json:"use,omitempty"`
	coordinatorUse
	// Rollouts are the counts of the host since each order that is in progress.
	Rollouts []rolloutUsage `json:"rollouts,omitempty"`
}

type openGrant struct {
	ID       allocation.ID     `json:"id"`
	Service  tables.ServiceID  `json:"s"`
	Target   tables.TargetID   `json:"t"`
	Customer tables.CustomerID `json:"c,omitempty"`
	// Tier is that of the slot request; zero from the build before it.
	Tier int `json:"k,omitempty"`
	// grantedAt is when the host got the slot.
	grantedAt time.Time
	// Stream is the stream of the request, and Version that of the target that began it. Both are
	// set once the first event has been relayed while a service has several versions.
	Stream  origin.StreamID         `json:"st,omitempty"`
	Version *tables.SoftwareVersion `json:"v,omitempty"`
	// Tokens is that of slotRequestMessage.
	Tokens *tokenCounts `json:"tk,omitempty"`
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
