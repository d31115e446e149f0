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
	peer.Handle(mux, methodCauses, func(_ context.Context, _ *peer.Conn, m causesMessage) (struct{}, error) {
		g.Import(m)
		return struct{}{}, nil
	})
}

// ShareWith sends all known causes and the losses of the last minute over a new
// connection. The host at its other end may be or become the coordinator.
func (g *Guard) ShareWith(conn *peer.Conn) {
	if causes := g.Causes(); len(causes) > 0 {
		conn.NotifyAsync(methodCauses, causesMessage(causes))
	}
	if losses := g.recentLosses(); len(losses) > 0 {
		conn.NotifyAsync(methodLost, lossMessage{losses})
	}
}
