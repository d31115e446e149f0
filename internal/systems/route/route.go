// Package route chooses, at a gate, the dispatcher and the targets that a
// request may run at.
package route

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// View is what a gate knows of one target; the summary may be stale.
type View struct {
	Target  tables.TargetID
	Owner   tables.HostID
	Domain  tables.DomainID
	Speed   tables.Speed
	Summary tables.PoolSummary
	// Updated is the arrival of Summary; zero when none has come.
	Updated time.Time
	// Sent counts the requests that this gate sent since Updated.
	Sent int
}

// Request is what the choice depends on.
type Request struct {
	ID              tables.RequestID
	Tier            int
	PromptTokens    int
	PredictedTokens int
	// Prefix is the chain of block hashes of the prompt, longest last.
	Prefix []uint64
	// Due is the deadline of the whole answer.
	Due time.Time
}

// Choice is one dispatcher and the targets it may use, best first.
type Choice struct {
	Owner   tables.HostID
	Targets []tables.TargetID
}

// Pick orders the owners of the fitting targets, best first. The gate tries
// them in this order until one accepts, and refuses the request only when all
// have refused. Views hold only targets that fit and are open.
func Pick(_ time.Time, _ Request, views []View) []Choice {
	var out []Choice
	at := make(map[tables.HostID]int)
	for _, v := range views {
		i, ok := at[v.Owner]
		if !ok {
			i = len(out)
			at[v.Owner] = i
			out = append(out, Choice{Owner: v.Owner})
		}
		out[i].Targets = append(out[i].Targets, v.Target)
	}
	return out
}
