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

// estimates holds what the gate has observed of prompts and answer lengths.
type estimates struct {
	mu             sync.Mutex
	sharedPrefixes *prefix.SharedPrefixes
	answerLengths  *predict.LengthPredictor
}

// routeRequest returns the properties of a request that routing depends on. It
// must be called only once per request, because it records the prompt.
func (g *Gate) routeRequest(msg peer.Submit, now time.Time) route.Request {
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
	g.estimates.mu.Lock()
	defer g.estimates.mu.Unlock()
	r.PredictedTokens = g.estimates.answerLengths.Predict(lengthFeatures(msg))
	r.SharedPrefix, r.SharedTokens = g.estimates.sharedPrefixes.Find(r.PrefixHashes)
	return r
}

// observeLength records the length of a complete answer of a model.
func (g *Gate) observeLength(msg peer.Submit, outcome peer.Finished) {
	if msg.Plain || outcome.Kind != errkind.None {
		return
	}
	g.estimates.mu.Lock()
	defer g.estimates.mu.Unlock()
	g.estimates.answerLengths.Observe(lengthFeatures(msg), outcome.Tokens)
}

// lengthFeatures returns the properties of a request from which the length of its
// answer is predicted.
func lengthFeatures(msg peer.Submit) *tables.Request {
	return &tables.Request{
		Customer: msg.Customer, Service: msg.Service, Tier: msg.Tier,
		PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
	}
}
