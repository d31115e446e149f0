package poison

import (
	"context"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods of the messages between hosts.
const (
	// methodLost carries a lossMessage to the hosts that may decide.
	methodLost = "poison.lost"
	// methodSuspects carries the traits whose survivals matter to all hosts.
	methodSuspects = "poison.suspects"
	// methodSurvived carries a survivalMessage to the hosts that may decide.
	methodSurvived = "poison.survived"
	// methodCauses carries the names of all known causes, with the time at which each was
	// found in Unix milliseconds, to all hosts.
	methodCauses = "poison.causes"
	// methodAskTrial asks the hosts that may decide for a trial, methodTrial grants it, and
	// methodTrialEnd ends one without a release, at all hosts.
	methodAskTrial, methodTrial, methodTrialEnd = "poison.ask_trial", "poison.trial", "poison.trial_end"
	// methodReleased carries the names of causes that turned out to be sound, with the time at
	// which each had been found in Unix milliseconds, to all hosts.
	methodReleased = "poison.released"
)

// lossMessage reports losses.
type lossMessage struct {
	Losses []agedLoss `json:"losses"`
}

// agedLoss is a loss and how long ago it happened, in milliseconds.
type agedLoss struct {
	system.Loss
	AgeMS int64 `json:"age"`
}

// survivalMessage reports requests that survived.
type survivalMessage struct {
	// AgeMS tells how long ago a request with each trait last survived, in milliseconds.
	AgeMS map[system.Trait]int64 `json:"age,omitempty"`
	// Counts is the number of requests of each service that survived since the last report.
	Counts map[tables.ServiceID]int `json:"n,omitempty"`
}

// causesMessage holds the names of causes and when they were found.
type causesMessage map[string]int64

// Register registers the handlers for messages of other hosts.
func (g *Guard) Register(mux *peer.Mux) {
	peer.Handle(mux, methodLost, func(_ context.Context, _ *peer.Conn, m lossMessage) (struct{}, error) {
		g.recordLosses(m.Losses)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodSuspects, func(_ context.Context, _ *peer.Conn, traits []system.Trait) (struct{}, error) {
		g.watchFor(traits)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodSurvived, func(_ context.Context, _ *peer.Conn, m survivalMessage) (struct{}, error) {
		g.recordSurvivals(m)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodAskTrial, func(_ context.Context, _ *peer.Conn, m trialMessage) (struct{}, error) {
		g.grantTrial(m)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodTrial, func(_ context.Context, _ *peer.Conn, m trialMessage) (struct{}, error) {
		g.beginTrial(m)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodTrialEnd, func(_ context.Context, _ *peer.Conn, m trialEndMessage) (struct{}, error) {
		g.recordTrialEnd(m)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodReleased, func(_ context.Context, _ *peer.Conn, m causesMessage) (struct{}, error) {
		return struct{}{}, g.ImportReleased(ByHost, m)
	})
	peer.Handle(mux, methodCauses, func(_ context.Context, _ *peer.Conn, m causesMessage) (struct{}, error) {
		return struct{}{}, g.Import(m)
	})
}

// ShareWith sends all known and released causes and the losses of the last minute over a new
// connection. The host at its other end may be or become the coordinator.
func (g *Guard) ShareWith(conn *peer.Conn) {
	if released := g.Released(); len(released) > 0 {
		conn.NotifyAsync(methodReleased, causesMessage(released))
	}
	if causes := g.Causes(); len(causes) > 0 {
		conn.NotifyAsync(methodCauses, causesMessage(causes))
	}
	if losses := g.recentLosses(); len(losses) > 0 {
		conn.NotifyAsync(methodLost, lossMessage{losses})
	}
}
