// Package fleet defines the state of a deployment that an edge host works
// with: the active configuration, the targets and the other hosts.
package fleet

import (
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// RouteKind says whether the requests of a route may be retried.
type RouteKind uint8

// Route kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream
)

// Route defines how requests under one path prefix are served.
type Route struct {
	Name string
	// Host and Prefix select the requests of the route. A prefix begins and ends
	// with a slash.
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may be resumed at another target after their last event.
	Resumable bool
	// Timeout is the time limit for the complete response; zero means none.
	Timeout time.Duration
	// FirstByteSLO is the SLO for the time to the first byte.
	FirstByteSLO time.Duration
	// EventGapSLO is the SLO for the time between two events; zero means none.
	EventGapSLO time.Duration
	// CallerTimeout is how long callers wait for the next byte before they
	// disconnect; zero means until their deadline.
	CallerTimeout time.Duration
	// Tier is the rank of the requests. Tier 0 is served first.
	Tier int
	// MaxTargets is the maximum number of targets that one request may be sent to.
	MaxTargets int
	// Public routes require no API key.
	Public bool
	// Split lists the services of the route with their weights.
	Split []WeightedService
}

// Retryable reports whether a request may be retried although it may have
// run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// WeightedService is one of the services of a route. The fraction of the
// requests that it receives is its weight divided by the sum of the weights of
// the route.
type WeightedService struct {
	Service tables.ServiceID
	Weight  float64
}

// Service is the configuration of the targets of one service.
type Service struct {
	Name tables.ServiceID
	// MaxConnections is the maximum number of connections to one target from all
	// hosts.
	MaxConnections int
	// Slots is the number of requests that a target serves concurrently; zero if
	// each target reports its own.
	Slots int
	// ModelEngine is true for LLM inference engines.
	ModelEngine bool
	// KVCacheTokens is the KV cache capacity of an engine in tokens; zero if
	// unknown.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Quota limits the tokens that a customer may use across all hosts. A zero
// rate means no limit.
type Quota struct {
	TokensPerSecond float64
	Burst           float64
	// DefaultTokens is the number of tokens charged for a request that does not
	// state its token counts.
	DefaultTokens int
}

// Customer is the configuration of one customer.
type Customer struct {
	Name tables.CustomerID
	// Tier overrides the tier of the route if HasTier is set.
	Tier    int
	HasTier bool
	Quota   Quota
}

// Limits bound what a caller may send; zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[tables.ServiceID]Service
	// KeyRequired is true if callers must present the API key of a customer. It does not
	// depend on whether there are customers: without any, no key is valid.
	KeyRequired bool
	keys        map[string]*Customer
	quotas      map[tables.CustomerID]Quota
	routes      map[string]map[string]*Route
}

// NewConfig returns an empty configuration with the given version.
func NewConfig(version uint64) *Config {
	return &Config{
		Version:  version,
		Services: make(map[tables.ServiceID]Service),
		keys:     make(map[string]*Customer),
		quotas:   make(map[tables.CustomerID]Quota),
		routes:   make(map[string]map[string]*Route),
	}
}

// AddRoute adds a route. It replaces a route with the same host and prefix.
func (c *Config) AddRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if c.routes[host] == nil {
		c.routes[host] = make(map[string]*Route)
	}
	c.routes[host][r.Prefix] = r
}

// AddCustomer adds a customer and its API keys, which are required from then on. An empty key
// is left out: a request without a key would have it.
func (c *Config) AddCustomer(customer *Customer, keys []string) {
	c.KeyRequired = true
	c.quotas[customer.Name] = customer.Quota
	for _, k := range keys {
		if k != "" {
			c.keys[k] = customer
		}
	}
}

// Route returns the route with the longest matching prefix of path, or nil.
func (c *Config) Route(host, path string) *Route {
	prefixes := c.routes[strings.ToLower(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Customer returns the customer that owns an API key, or nil.
func (c *Config) Customer(key string) *Customer { return c.keys[key] }

// CustomerCount returns how many customers there are.
func (c *Config) CustomerCount() int { return len(c.quotas) }

// RouteCount returns how many routes there are.
func (c *Config) RouteCount() int {
	n := 0
	for _, prefixes := range c.routes {
		n += len(prefixes)
	}
	return n
}

// Quotas returns the quotas of all customers. The map must not be modified.
func (c *Config) Quotas() map[tables.CustomerID]Quota { return c.quotas }

// QuotaOf returns the quota of a customer, or the zero Quota if it has none.
func (c *Config) QuotaOf(id tables.CustomerID) Quota { return c.quotas[id] }
