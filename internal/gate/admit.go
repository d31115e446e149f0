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
	// defaultMaxTokens bounds an answer whose caller gave no bound.
	defaultMaxTokens = 1024
	// defaultDeadline is the deadline of a tier that has none.
	defaultDeadline = 5 * time.Minute
)

// ask is what a caller asks for, before it is admitted.
type ask struct {
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

// admitted is an ask that may run.
type admitted struct {
	msg peer.Submit
	// pick chooses dispatchers by what is known at the time of the call.
	pick     func() []route.Choice
	lifetime time.Duration
	// claimed are the targets that the claim of a keyed request speaks of; it
	// is sent to no other ones.
	claimed targetSet
	// arrived is when the request was admitted; its deadlines count from here,
	// also while its key is claimed.
	arrived time.Time
}

// admit checks a against configuration and limits. Every error proves that the
// request did not run.
func (g *Gate) admit(ctx context.Context, a ask) (admitted, error) {
	doc := g.Document()
	if doc == nil {
		return admitted{}, errkind.New(errkind.NotConfigured, "no configuration has been read")
	}
	service, err := findService(doc, a)
	if err != nil {
		return admitted{}, err
	}
	tier, err := findTier(doc, service, a)
	if err != nil {
		return admitted{}, err
	}
	if err := checkKey(service, a); err != nil {
		return admitted{}, err
	}
	msg := g.message(ctx, a, service, tier, doc.Customers[string(a.customer)])
	arrived := g.Clock.Now()
	request := g.describe(msg, arrived)
	var claimed targetSet
	if a.key != "" {
		claimed = targetsOf(doc, a.service)
	}
	pick := func() []route.Choice {
		now := g.Document()
		return route.Pick(g.Clock.Now(), request, claimed.only(now, g.views(now, a.service)))
	}
	return admitted{msg: msg, pick: pick, claimed: claimed, lifetime: service.KeyLifetime(), arrived: arrived}, nil
}

func findService(doc *config.Document, a ask) (config.Service, error) {
	service, ok := doc.Services[a.service]
	if !ok || (service.Kind == config.PlainService) != a.plain {
		return service, errkind.New(errkind.UnknownService, fmt.Sprintf("service %q does not exist", a.service))
	}
	if a.plain {
		if _, ok := service.Operations[a.operation]; !ok {
			return service, errkind.New(errkind.UnknownOperation, fmt.Sprintf("service %q has no operation %q", a.service, a.operation))
		}
	}
	limit := service.BodyLimit()
	if int64(len(a.body)) > limit {
		return service, errkind.New(errkind.BodyTooLarge, fmt.Sprintf("body has %d bytes and service %q takes %d", len(a.body), a.service, limit))
	}
	return service, nil
}

func findTier(doc *config.Document, service config.Service, a ask) (config.Tier, error) {
	name := a.tier
	if name == "" {
		name = service.Tier
	}
	tier, ok := doc.Tiers[name]
	if !ok {
		return tier, errkind.New(errkind.UnknownTier, fmt.Sprintf("tier %q does not exist", name))
	}
	allowed := doc.Customers[string(a.customer)].Tiers
	if len(allowed) == 0 {
		return tier, nil
	}
	for _, t := range allowed {
		if t == name {
			return tier, nil
		}
	}
	return tier, errkind.New(errkind.Forbidden, fmt.Sprintf("customer %q may not use tier %q", a.customer, name))
}

func checkKey(service config.Service, a ask) error {
	if a.key == "" {
		if service.Operations[a.operation].NonIdempotent {
			return errkind.New(errkind.KeyRequired, fmt.Sprintf("operation %q of service %q is non-idempotent", a.operation, a.service))
		}
		return nil
	}
	if claim.IsMinted(a.key) {
		return checkMinted(service.Operations[a.operation].NonIdempotent, a)
	}
	id, err := uuid.Parse(a.key)
	if err != nil || id.Version() != 7 || id.String() != a.key {
		return errkind.New(errkind.KeyMalformed, fmt.Sprintf("key %q is not a lower-case UUID of version 7", a.key))
	}
	return nil
}

func (g *Gate) message(ctx context.Context, a ask, service config.Service, tier config.Tier, customer config.Customer) peer.Submit {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	due := deadlineOf(tier.DeadlineMillis, defaultDeadline)
	if a.deadline > 0 {
		due = min(due, a.deadline)
	}
	return peer.Submit{
		ID:            tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7())),
		Customer:      a.customer,
		Service:       tables.ServiceID(a.service),
		Operation:     a.operation,
		Fingerprint:   fingerprint(a),
		Tier:          tier.Rank,
		Share:         shareOf(customer),
		Plain:         a.plain,
		NonIdempotent: service.Operations[a.operation].NonIdempotent,
		FirstTokenIn:  deadlineOf(tier.FirstTokenMillis, due),
		DueIn:         due,
		Model:         service.Model,
		Adapter:       service.Adapter,
		Body:          a.body,
		MaxTokens:     maxTokens(a),
		PromptTokens:  target.PromptTokens(string(a.body)),
		Key:           a.key,
		Trace:         carrier,
	}
}

func maxTokens(a ask) int {
	if a.maxTokens > 0 {
		return a.maxTokens
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

// fingerprint hashes customer, service, operation and body.
func fingerprint(a ask) tables.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(a.customer), a.service, a.operation} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(a.body)
	return tables.Fingerprint(h.Sum64())
}
