package gate

import (
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// learnt is what this gate has learnt of prompts and answers.
type learnt struct {
	mu      sync.Mutex
	shared  *prefix.SharedPrefixes
	lengths *predict.Lengths
}

// describe returns what the choice of a dispatcher depends on. It is called
// once for a request, since it remembers the prompt.
func (g *Gate) describe(msg peer.Submit, now time.Time) route.Request {
	r := route.Request{
		ID:           msg.ID,
		Tier:         msg.Tier,
		PromptTokens: msg.PromptTokens,
		Due:          now.Add(msg.DueIn),
	}
	if msg.Plain {
		return r
	}
	r.PrefixHashes = prefix.Chain(target.PrefixScope(msg.Model, msg.Adapter), msg.Body)
	g.learnt.mu.Lock()
	defer g.learnt.mu.Unlock()
	r.PredictedTokens = g.learnt.lengths.Predict(lengthRow(msg))
	r.SharedPrefix, r.SharedTokens = g.learnt.shared.Find(r.PrefixHashes)
	return r
}

// learn notes the length of a whole answer.
func (g *Gate) learn(msg peer.Submit, end peer.Finished) {
	if msg.Plain || end.Kind != errkind.None {
		return
	}
	g.learnt.mu.Lock()
	defer g.learnt.mu.Unlock()
	g.learnt.lengths.Observe(lengthRow(msg), end.Tokens)
}

// lengthRow holds what the length of an answer is predicted from.
func lengthRow(msg peer.Submit) *tables.Request {
	return &tables.Request{
		Customer: msg.Customer, Service: msg.Service, Tier: msg.Tier,
		PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
	}
}
