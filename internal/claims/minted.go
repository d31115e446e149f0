package claims

import (
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// Mint makes a key that this process alone decides about, without the log.
// Errors are those of the random source.
func (h *Home) Mint() (peer.Minted, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return peer.Minted{}, errkind.Wrap(err, errkind.Internal, "a key cannot be made")
	}
	return peer.Minted{Key: h.minted.Mint(id).String()}, nil
}

// acquireMinted is Acquire for a key that a host made.
func (h *Home) acquireMinted(a peer.Acquire) peer.AcquireResult {
	minted, err := claim.ParseMinted(a.Key)
	if err != nil {
		return refusal(err)
	}
	ask := askOf(a, claim.Key{Customer: a.Customer, Service: a.Service, ID: minted.ID})
	h.mu.Lock()
	answer := h.minted.Acquire(h.opts.Clock.Now(), minted, ask)
	h.mu.Unlock()
	r := decision(answer)
	if r.Holder != "" && answer.Holder.HasOutcome && answer.Err == nil {
		o := h.remembered(ask.Key, *answer.Holder)
		r.Outcome = &o
	}
	return r
}

// remembered is the outcome of a holder as far as this process knows it.
func (h *Home) remembered(key claim.Key, holder claim.Holder) peer.Outcome {
	if o, ok := h.outcomes.Get(outcomeID{key, holder.Request}); ok && o.Kind == holder.Kind {
		return o
	}
	return peer.Outcome{ID: holder.Request, Known: true, Done: true, Kind: holder.Kind, Status: holder.Status}
}

// recordMinted is Record for a key that a host made.
func (h *Home) recordMinted(r peer.Record) error {
	minted, err := claim.ParseMinted(r.Key)
	if err != nil {
		return err
	}
	key := claim.Key{Customer: r.Customer, Service: r.Service, ID: minted.ID}
	h.mu.Lock()
	h.minted.Record(h.opts.Clock.Now(), minted, toRecord(key, r.Outcome))
	h.mu.Unlock()
	h.outcomes.Add(outcomeID{key, r.Outcome.ID}, r.Outcome)
	return nil
}
