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

// Handler implements the generated operators' API.
type Handler struct {
	// Host is this host.
	Host tables.HostID
	// Configuration, Members, Peers and Quarantine are the host's views.
	Configuration Configuration
	Members       Members
	Peers         Caller
	Quarantine    Quarantine
	// Clock tells how long ago a silent host was heard.
	Clock clockwork.Clock
}

var _ api.Handler = (*Handler)(nil)

// GetConfig returns the version in force on this host.
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

// rawFields encodes the top level of a document field by field.
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

// GetConfigHistory returns the patches that this host has read, newest first.
func (h *Handler) GetConfigHistory(context.Context) ([]api.PatchResult, error) {
	history := h.Configuration.History()
	out := make([]api.PatchResult, 0, len(history))
	for _, r := range history {
		out = append(out, patchResult(r))
	}
	return out, nil
}

// PublishPatch publishes a patch, or folds it without publishing.
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
	result, err := h.decide(ctx, p, params.DryRun.Value)
	if err != nil {
		return nil, err
	}
	out := patchResult(result)
	return &out, nil
}

func (h *Handler) decide(ctx context.Context, p config.Patch, dryRun bool) (config.Result, error) {
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

// ListQuarantine returns the entries in force, soonest to expire first.
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

// ReleaseQuarantine lifts an entry on every host.
func (h *Handler) ReleaseQuarantine(ctx context.Context, params api.ReleaseQuarantineParams) error {
	f, err := strconv.ParseUint(params.Fingerprint, 16, 64)
	if err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, fmt.Sprintf("fingerprint %q is no 16 hex digits", params.Fingerprint))
	}
	return h.Quarantine.Release(ctx, tables.Fingerprint(f))
}

// formatHash writes a 64-bit hash as 16 hex digits.
func formatHash(x uint64) string { return fmt.Sprintf("%016x", x) }

func optional(s string) api.OptString {
	if s == "" {
		return api.OptString{}
	}
	return api.NewOptString(s)
}
