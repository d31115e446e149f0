package claims

import (
	"context"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// recordedOutcome returns the recorded outcome of a holder from the cache or the
// log. If neither has it, the result contains only the kind and status.
func (h *Home) recordedOutcome(ctx context.Context, key claim.Key, holder claim.Holder) peer.Outcome {
	id := outcomeID{key, holder.Request}
	if o, ok := h.outcomes.Get(id); ok && o.Kind == holder.Kind {
		return o
	}
	if o, ok := h.fetchOutcome(ctx, id, holder.OutcomeOffset); ok {
		h.outcomes.Add(id, o)
		return o
	}
	return peer.Outcome{ID: holder.Request, Known: true, Done: true, Kind: holder.Kind, Status: holder.Status}
}

func (h *Home) fetchOutcome(ctx context.Context, id outcomeID, offset int64) (peer.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream := streamOf(id.key.Shard(h.opts.Shards))
	page, err := h.opts.Log.Read(ctx, stream, ports.Offset(offset), 0)
	if err != nil || len(page.Records) == 0 {
		return peer.Outcome{}, false
	}
	batch, err := claim.Decode(page.Records[0].Data)
	if err != nil {
		return peer.Outcome{}, false
	}
	for _, o := range batch.Outcomes {
		if o.Key == id.key && o.Request == id.request {
			return fromRecord(o), true
		}
	}
	return peer.Outcome{}, false
}

func toRecord(key claim.Key, o peer.Outcome) claim.Outcome {
	r := claim.Outcome{
		Key:     key,
		Request: o.ID,
		Kind:    o.Kind,
		Detail:  o.Detail,
		Target:  o.Target,
		Status:  o.Status,
		Tokens:  o.Tokens,
	}
	if o.BodyKept && len(o.Body) <= claim.MaxBodyBytes {
		r.Body, r.BodyKept = o.Body, true
	}
	return r
}

func fromRecord(r claim.Outcome) peer.Outcome {
	return peer.Outcome{
		ID:       r.Request,
		Known:    true,
		Done:     true,
		Kind:     r.Kind,
		Detail:   r.Detail,
		Target:   r.Target,
		Status:   r.Status,
		Tokens:   r.Tokens,
		Body:     r.Body,
		BodyKept: r.BodyKept,
	}
}
