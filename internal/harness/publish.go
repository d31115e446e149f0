package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// The operator key and customer keys of the standard configuration.
const (
	OperatorKey = "operator-key"
	MuseumKey   = "museum-key"
	WorkshopKey = "workshop-key"
)

// Names of services, operations and tiers in the standard configuration.
const (
	ModelService     = "report"
	PlainService     = "desk"
	OperationConfirm = "confirm"
	OperationStatus  = "status"
	TierUrgent       = "urgent"
	TierNormal       = "normal"
	TierBulk         = "bulk"
)

// Deadlines of every tier of the standard configuration.
const (
	standardFirstTokenMillis = 20_000
	standardDeadlineMillis   = 60_000
)

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// StandardDocument returns a configuration with the targets of h, a model
// service, a plain service with one non-idempotent operation, three tiers, two
// customers and an operator.
func (h *Harness) StandardDocument() config.Document {
	return config.Document{
		Tiers: map[string]config.Tier{
			TierUrgent: {Rank: 0, FirstTokenMillis: standardFirstTokenMillis, DeadlineMillis: standardDeadlineMillis},
			TierNormal: {Rank: 1, FirstTokenMillis: standardFirstTokenMillis, DeadlineMillis: standardDeadlineMillis},
			TierBulk:   {Rank: 2, FirstTokenMillis: standardFirstTokenMillis, DeadlineMillis: standardDeadlineMillis},
		},
		Customers: map[string]config.Customer{
			"museum":   {KeySHA256: map[string]string{"first": digestOf(MuseumKey)}, Share: 1},
			"workshop": {KeySHA256: map[string]string{"first": digestOf(WorkshopKey)}, Share: 1},
		},
		Services: map[string]config.Service{
			ModelService: {Kind: config.ModelService, Model: "m", Tier: TierNormal},
			PlainService: {Kind: config.PlainService, Tier: TierNormal, Operations: map[string]config.Operation{
				OperationConfirm: {NonIdempotent: true}, OperationStatus: {},
			}},
		},
		Targets:     h.targetEntries(),
		Generations: h.generations(),
		Operators:   map[string]config.Operator{"ops": {KeySHA256: map[string]string{"first": digestOf(OperatorKey)}}},
	}
}

func (h *Harness) targetEntries() map[string]config.Target {
	entries := make(map[string]config.Target)
	for _, t := range h.Targets() {
		e := config.Target{Address: t.Address, FailureDomain: t.Domain, Services: []string{PlainService}}
		if t.Engine != nil {
			e.Services = []string{ModelService}
			e.Generation = generationName(t.Generation)
			e.ChecksFencing = t.ChecksFencing
			e.WindowMax = t.Engine.Options().BatchMax
		}
		entries[string(t.ID)] = e
	}
	return entries
}

// generations returns the generation entries for the engines. Engines with the
// same generationName share an entry.
func (h *Harness) generations() map[string]config.Generation {
	entries := make(map[string]config.Generation)
	for _, t := range h.Targets() {
		if t.Engine != nil {
			entries[generationName(t.Generation)] = t.Generation
		}
	}
	return entries
}

func generationName(g config.Generation) string {
	return fmt.Sprintf("step-%gms", g.StepMillis)
}

// Publication is the response to a published patch.
type Publication struct {
	Version uint64 `json:"version"`
	// Kind and Detail describe a refusal.
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail"`
}

// publishBody is the JSON body of a publication request.
type publishBody struct {
	Base    uint64          `json:"base"`
	PatchID string          `json:"patch_id"`
	Merge   json.RawMessage `json:"merge"`
}

// Publish publishes a merge patch, against the version base, at a host. If id is
// empty, a new patch ID is generated.
func (h *Harness) Publish(ctx context.Context, hostName string, base uint64, id string, merge []byte) (Publication, error) {
	host, err := h.Host(hostName)
	if err != nil {
		return Publication{}, err
	}
	if id == "" {
		id = uuid.Must(uuid.NewV7()).String()
	}
	body, err := json.Marshal(publishBody{Base: base, PatchID: id, Merge: merge})
	if err != nil {
		return Publication{}, fmt.Errorf("merge patch: %w", err)
	}
	resp, err := httpcall.Do(ctx, h.callerClient, httpcall.Request{
		Method: http.MethodPost,
		URL:    "http://" + host.OperatorAddress() + "/v1/config/patches",
		Header: http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + OperatorKey}},
		Body:   body,
	}, maxResponseBytes)
	if err != nil {
		return Publication{}, fmt.Errorf("publish at %q: %w", hostName, err)
	}
	var p Publication
	if err := json.Unmarshal(resp.Body, &p); err != nil {
		return Publication{}, fmt.Errorf("publish at %q: status %d: %w", hostName, resp.Status, err)
	}
	return p, nil
}

// Configure publishes the standard configuration at a host, as a merge patch
// against the version in force there, and waits as AwaitVersion does.
func (h *Harness) Configure(ctx context.Context, hostName string) error {
	return h.ConfigureWith(ctx, hostName, nil)
}

// ConfigureWith is like Configure, but first applies the merge patch change to the
// standard configuration; nil means no change.
func (h *Harness) ConfigureWith(ctx context.Context, hostName string, change []byte) error {
	merge, err := json.Marshal(h.StandardDocument())
	if err != nil {
		return fmt.Errorf("standard configuration: %w", err)
	}
	if change != nil {
		if merge, err = jsonpatch.MergePatch(merge, change); err != nil {
			return fmt.Errorf("change of the standard configuration: %w", err)
		}
	}
	host, err := h.Host(hostName)
	if err != nil {
		return err
	}
	p, err := h.Publish(ctx, hostName, host.Version(), "", merge)
	if err != nil {
		return err
	}
	if p.Kind != errkind.None {
		return fmt.Errorf("standard configuration refused as %s: %s", p.Kind, p.Detail)
	}
	return h.AwaitVersion(ctx, p.Version)
}
