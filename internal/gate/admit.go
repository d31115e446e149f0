package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// defaultMaxTokens limits the tokens of an answer if the caller set no limit.
	defaultMaxTokens = 1024
	// defaultDeadline is the deadline of requests whose tier sets none.
	defaultDeadline = 5 * time.Minute
)

// callerRequest holds the parameters of a caller's request before admission.
type callerRequest struct {
	customer  tables.CustomerID
	service   string
	operation string
	plain     bool
	key       string
	tier      string
	body      []byte
	maxTokens int
	deadline  time.Duration
}

// admittedRequest is a request that passed admission.
type admittedRequest struct {
	msg peer.Submit
	// pick returns the dispatchers to try, best first, according to the current
	// configuration and target summaries.
	pick        func() []route.Choice
	keyLifetime time.Duration
	// targetsInClaim are the targets whose digest is part of the key claim. A
	// keyed request is sent to no other target.
	targetsInClaim targetSet
	// arrived is the time of admission. Deadlines count from it, so they include
	// the time to claim the key.
	arrived time.Time
}

// admit checks req against the configuration and builds the request to dispatch.
// Any error proves that the request did not run.
func (g *Gate) admit(ctx context.Context, req callerRequest) (admittedRequest, error) {
	doc := g.Document()
	if doc == nil {
		return admittedRequest{}, errkind.New(errkind.NotConfigured, "no configuration has been read")
	}
	service, err := findService(doc, req)
	if err != nil {
		return admittedRequest{}, err
	}
	tier, err := findTier(doc, service, req)
	if err != nil {
		return admittedRequest{}, err
	}
	if err := checkKey(service, req); err != nil {
		return admittedRequest{}, err
	}
	msg := g.newSubmit(ctx, req, service, tier, doc.Customers[string(req.customer)])
	arrived := g.Clock.Now()
	request := g.routeRequest(msg, arrived)
	var claimed targetSet
	if req.key != "" {
		claimed = targetsOf(doc, req.service)
	}
	pick := func() []route.Choice {
		now := g.Document()
		return route.Pick(g.Clock.Now(), request, claimed.filter(now, g.views(now, req.service)))
	}
	return admittedRequest{msg: msg, pick: pick, targetsInClaim: claimed, keyLifetime: service.KeyLifetime(), arrived: arrived}, nil
}

func findService(doc *config.Document, req callerRequest) (config.Service, error) {
	service, ok := doc.Services[req.service]
	if !ok || (service.Kind == config.PlainService) != req.plain {
		return service, errkind.New(errkind.UnknownService, fmt.Sprintf("service %q does not exist", req.service))
	}
	if req.plain {
		if _, ok := service.Operations[req.operation]; !ok {
			return service, errkind.New(errkind.UnknownOperation, fmt.Sprintf("service %q has no operation %q", req.service, req.operation))
		}
	}
	limit := service.BodyLimit()
	if int64(len(req.body)) > limit {
		return service, errkind.New(errkind.BodyTooLarge, fmt.Sprintf("body has %d bytes and service %q takes %d", len(req.body), req.service, limit))
	}
	return service, nil
}

func findTier(doc *config.Document, service config.Service, req callerRequest) (config.Tier, error) {
	name := req.tier
	if name == "" {
		name = service.Tier
	}
	tier, ok := doc.Tiers[name]
	if !ok {
		return tier, errkind.New(errkind.UnknownTier, fmt.Sprintf("tier %q does not exist", name))
	}
	allowed := doc.Customers[string(req.customer)].Tiers
	if len(allowed) == 0 {
		return tier, nil
	}
	for _, t := range allowed {
		if t == name {
			return tier, nil
		}
	}
	return tier, errkind.New(errkind.Forbidden, fmt.Sprintf("customer %q may not use tier %q", req.customer, name))
}

func checkKey(service config.Service, req callerRequest) error {
	if req.key == "" {
		if service.Operations[req.operation].NonIdempotent {
			return errkind.New(errkind.KeyRequired, fmt.Sprintf("operation %q of service %q is non-idempotent", req.operation, req.service))
		}
		return nil
	}
	if claim.IsMinted(req.key) {
		return checkMinted(service.Operations[req.operation].NonIdempotent, req)
	}
	id, err := uuid.Parse(req.key)
	if err != nil || id.Version() != 7 || id.String() != req.key {
		return errkind.New(errkind.KeyMalformed, fmt.Sprintf("key %q is not a lower-case UUID of version 7", req.key))
	}
	return nil
}

func (g *Gate) newSubmit(ctx context.Context, req callerRequest, service config.Service, tier config.Tier, customer config.Customer) peer.Submit {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	due := deadlineOf(tier.DeadlineMillis, defaultDeadline)
	if req.deadline > 0 {
		due = min(due, req.deadline)
	}
	return peer.Submit{
		ID:            tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7())),
		Customer:      req.customer,
		Service:       tables.ServiceID(req.service),
		Operation:     req.operation,
		Fingerprint:   fingerprint(req),
		Tier:          tier.Rank,
		Share:         shareOf(customer),
		Plain:         req.plain,
		NonIdempotent: service.Operations[req.operation].NonIdempotent,
		FirstTokenIn:  deadlineOf(tier.FirstTokenMillis, due),
		DueIn:         due,
		Model:         service.Model,
		Adapter:       service.Adapter,
		Body:          req.body,
		MaxTokens:     maxTokens(req),
		PromptTokens:  target.PromptTokens(string(req.body)),
		Key:           req.key,
		Trace:         carrier,
	}
}

func maxTokens(req callerRequest) int {
	if req.maxTokens > 0 {
		return req.maxTokens
	}
	return defaultMaxTokens
}

func deadlineOf(ms int, otherwise time.Duration) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return otherwise
}

func shareOf(c config.Customer) float64 {
	if c.Share > 0 {
		return c.Share
	}
	return 1
}

// fingerprint returns a hash of the customer, service, operation and body.
func fingerprint(req callerRequest) tables.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(req.customer), req.service, req.operation} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body)
	return tables.Fingerprint(h.Sum64())
}
