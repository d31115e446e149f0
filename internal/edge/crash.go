package edge

import (
	"errors"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
)

// survivalEvents is the number of events of a call after which its request is past the
// beginning of its answer. A target that crashes on a request crashes before.
const survivalEvents = 2

// recordLoss reports a failed call if its connection broke and the request may have made
// the target crash.
func (ex *exchange) recordLoss(target fleet.Target, outcome allocation.Outcome, err error) {
	evidence := ex.crashEvidence(outcome, err)
	ex.server.Metrics.CallFailed(evidence)
	if evidence == evidenceRecorded {
		ex.server.Poison.Lost(system.Loss{Request: ex.request.ID, Service: ex.service, Target: target.ID, TargetStart: target.StartedAt.UnixMilli(), Traits: ex.traits, Begun: ex.call.answered})
	}
}

// The values of the label result of the counter of crash evidence.
const (
	// evidenceRecorded is a loss that is reported to the hosts that find causes.
	evidenceRecorded = "recorded"
	// evidenceAnswered is a connection that broke late in the answer.
	evidenceAnswered = "answered"
	// evidenceHostLost is a call through another host that was lost itself.
	evidenceHostLost = "host_lost"
	// evidenceSilent is a target that was left because it sent nothing.
	evidenceSilent = "silent"
	// evidenceAbandoned is a call that ended with its caller or its deadline.
	evidenceAbandoned = "abandoned"
	// evidenceNone is a failed call that says nothing of a crash.
	evidenceNone = "none"
)

// crashEvidence returns how a failed call counts as evidence of a crash.
func (ex *exchange) crashEvidence(outcome allocation.Outcome, err error) string {
	switch {
	case errors.Is(err, ErrHostLost):
		return evidenceHostLost
	case outcome == allocation.Silent:
		return evidenceSilent
	case outcome == allocation.Abandoned:
		return evidenceAbandoned
	case outcome != allocation.ConnectionLost:
		return evidenceNone
	case ex.call.events >= survivalEvents:
		return evidenceAnswered
	case ex.brokeOff(err):
		return evidenceRecorded
	default:
		return evidenceNone
	}
}

// brokeOff reports whether a call failed because its connection broke.
func (ex *exchange) brokeOff(err error) bool {
	var sendErr *SendError
	if !errors.As(err, &sendErr) || sendErr.Delivery != MayHaveRun || errors.Is(err, ErrHostLost) {
		return false
	}
	return errors.Is(err, errTruncated) || !ex.call.answered && !sendErr.Answered
}

// recordCallEvent counts an event that a call has brought.
func (ex *exchange) recordCallEvent() {
	ex.call.events++
	if ex.call.events == survivalEvents {
		ex.server.Poison.Survived(ex.request.ID, ex.service, ex.traits)
	}
}

// recordWholeAnswer records the end of a call that brought a whole answer. An answer whose
// end can't be told from that of the connection may have been cut by a crash.
func (ex *exchange) recordWholeAnswer() {
	if ex.call.framed && ex.call.status < http.StatusMultipleChoices && ex.call.events < survivalEvents {
		ex.server.Poison.Survived(ex.request.ID, ex.service, ex.traits)
	}
}
