package claims

import (
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// Mint returns a new key whose claims only this process decides, without the log.
// It fails only if the random source fails.
func (h *Home) Mint() (peer.Minted, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return peer.Minted{}, errkind.Wrap(err, errkind.Internal, "a key cannot be made")
	}
	return peer.Minted{Key: h.authority.Mint(id).String()}, nil
}

// acquireMinted implements Acquire for minted keys.
func (h *Home) acquireMinted(a peer.Acquire) peer.AcquireResult {
	minted, err := claim.ParseMinted(a.Key)
	if err != nil {
		return refusal(err)
	}
	req := toAcquireRequest(a, claim.Key{Customer: a.Customer, Service: a.Service, ID: minted.ID})
	h.mu.Lock()
	result := h.authority.Acquire(h.opts.Clock.Now(), minted, req)
	h.mu.Unlock()
	r := resultWithoutOutcome(result)
	if r.Holder != "" && result.Holder.HasOutcome && result.Err == nil {
		o := h.knownOutcome(req.Key, *result.Holder)
		r.Outcome = &o
	}
	return r
}

// knownOutcome returns the outcome of a holder from the cache or, if it is not
// cached, only its kind and status.
func (h *Home) knownOutcome(key claim.Key, holder claim.Holder) peer.Outcome {
	if o, ok := h.outcomes.Get(outcomeID{key, holder.Request}); ok && o.Kind == holder.Kind {
		return o
	}
	return peer.Outcome{ID: holder.Request, Known: true, Done: true, Kind: holder.Kind, Status: holder.Status}
}

// recordMinted implements Record for minted keys.
func (h *Home) recordMinted(r peer.Record) error {
	minted, err := claim.ParseMinted(r.Key)
	if err != nil {
		return err
	}
	key := claim.Key{Customer: r.Customer, Service: r.Service, ID: minted.ID}
	h.mu.Lock()
	h.authority.Record(h.opts.Clock.Now(), minted, toRecord(key, r.Outcome))
	h.mu.Unlock()
	h.outcomes.Add(outcomeID{key, r.Outcome.ID}, r.Outcome)
	return nil
}
