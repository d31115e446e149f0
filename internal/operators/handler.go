package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"github.com/go-faster/jx"
	"github.com/jonboulle/clockwork"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Handler implements the generated server interface of the operators' API.
type Handler struct {
	// Host is the ID of the host that serves the API.
	Host tables.HostID
	// Configuration, Members, Peers and Quarantine give access to the state of the
	// host.
	Configuration Configuration
	Members       Members
	Peers         Caller
	Quarantine    Quarantine
	// Clock is used to compute the time since the last contact with a host that
	// does not respond.
	Clock clockwork.Clock
}

var _ api.Handler = (*Handler)(nil)

// GetConfig returns the configuration version in force on this host.
func (h *Handler) GetConfig(context.Context) (*api.ConfigVersion, error) {
	current := h.Configuration.Current()
	document, err := rawFields(current.Document)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encoding the configuration document")
	}
	return &api.ConfigVersion{
		Version:  int64(current.Version),
		Digest:   formatHash(current.Digest),
		Document: document,
	}, nil
}

// rawFields returns the JSON encoding of each top-level field of a document.
func rawFields(d *config.Document) (map[string]jx.Raw, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	out := make(map[string]jx.Raw, len(fields))
	for name, value := range fields {
		out[name] = jx.Raw(value)
	}
	return out, nil
}

// GetConfigHistory returns the decisions on patches that this host retains, newest
// first.
func (h *Handler) GetConfigHistory(context.Context) ([]api.PatchResult, error) {
	history := h.Configuration.History()
	out := make([]api.PatchResult, 0, len(history))
	for _, r := range history {
		out = append(out, patchResult(r))
	}
	return out, nil
}

// PublishPatch publishes a patch. For a dry run it only evaluates the patch.
func (h *Handler) PublishPatch(ctx context.Context, req *api.Patch, params api.PublishPatchParams) (*api.PatchResult, error) {
	merge, err := json.Marshal(rawMessages(req.Merge))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.MalformedRequest, "the merge patch is no JSON object")
	}
	p := config.Patch{
		Base:     config.Version(req.Base),
		ID:       req.PatchID.String(),
		Operator: operatorOf(ctx),
		Merge:    merge,
	}
	result, err := h.publish(ctx, p, params.DryRun.Value)
	if err != nil {
		return nil, err
	}
	out := patchResult(result)
	return &out, nil
}

func (h *Handler) publish(ctx context.Context, p config.Patch, dryRun bool) (config.Result, error) {
	if dryRun {
		return h.Configuration.DryRun(p)
	}
	return h.Configuration.Publish(ctx, p)
}

func rawMessages(fields map[string]jx.Raw) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(fields))
	for name, value := range fields {
		out[name] = json.RawMessage(value)
	}
	return out
}

func patchResult(r config.Result) api.PatchResult {
	out := api.PatchResult{
		PatchID:  r.PatchID,
		Accepted: r.Accepted,
		Base:     int64(r.Base),
		Version:  int64(r.Version),
		Operator: optional(r.Operator),
		Reason:   optional(r.Reason),
		Diff:     optional(r.Diff),
	}
	if !r.Time.IsZero() {
		out.Time = api.NewOptDateTime(r.Time)
	}
	return out
}

// ListQuarantine returns the unexpired entries in order of expiry.
func (h *Handler) ListQuarantine(context.Context) ([]api.QuarantineEntry, error) {
	entries := h.Quarantine.List()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Expires.Before(entries[j].Expires) })
	out := make([]api.QuarantineEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, quarantineEntry(e))
	}
	return out, nil
}

func quarantineEntry(e peer.QuarantineEntry) api.QuarantineEntry {
	return api.QuarantineEntry{
		Fingerprint: formatHash(uint64(e.Fingerprint)),
		Customer:    string(e.Customer),
		Service:     string(e.Service),
		Crashes:     e.Crashes,
		Expires:     e.Expires,
	}
}

// ReleaseQuarantine removes an entry from the quarantine of every host.
func (h *Handler) ReleaseQuarantine(ctx context.Context, params api.ReleaseQuarantineParams) error {
	f, err := strconv.ParseUint(params.Fingerprint, 16, 64)
	if err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, fmt.Sprintf("fingerprint %q is no 16 hex digits", params.Fingerprint))
	}
	return h.Quarantine.Release(ctx, tables.Fingerprint(f))
}

// formatHash formats a 64-bit hash as 16 hex digits.
func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

func optional(s string) api.OptString {
	if s == "" {
		return api.OptString{}
	}
	return api.NewOptString(s)
}
