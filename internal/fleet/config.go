// Package fleet holds what an edge host knows of its deployment: the
// configuration in force, the targets and the other hosts.
package fleet

import (
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Kind says what may be repeated of the requests of a route.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	Stream
)

// Route says how requests below one prefix are served.
type Route struct {
	Name string
	// Host and Prefix select the route; a prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// Timeout is the longest time until the final answer; zero means none.
	Timeout time.Duration
	// Aim is the time to the first byte that earns full credit.
	Aim time.Duration
	// GapAim is the longest pause between two events; zero means none.
	GapAim time.Duration
	// Silence is how long callers wait without a byte before they leave; zero
	// means until their deadline.
	Silence time.Duration
	// Tier is the rank of requests; 0 is served first.
	Tier int
	// MaxTargets is the number of targets that one request may be sent to.
	MaxTargets int
	// Public routes need no key.
	Public bool
	// Split lists the services of the route with their weights.
	Split []Share
}

// Repeatable reports whether a request may be sent again although it may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service tables.ServiceID
	Weight  float64
}

// Service holds what is configured of the targets of one service.
type Service struct {
	Name tables.ServiceID
	// MaxConnections is the bound on connections to one target from all hosts.
	MaxConnections int
	// Slots is the number of requests that a target serves at once; zero when
	// each target declares its own.
	Slots int
	// Model is true for model engines.
	Model bool
	// MemoryTokens is what an engine can keep; zero means unknown.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Quota bounds the tokens that a customer may use over all hosts; a zero rate
// means no bound.
type Quota struct {
	TokensPerSecond float64
	Burst           float64
	// PlainTokens is what a request that states no tokens counts.
	PlainTokens int
}

// Customer holds what is configured of one customer.
type Customer struct {
	Name tables.CustomerID
	// Tier takes precedence over that of the route when HasTier is set.
	Tier    int
	HasTier bool
	Quota   Quota
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[tables.ServiceID]Service
	// Keyed is true when callers need the key of a customer.
	Keyed  bool
	keys   map[string]*Customer
	quotas map[tables.CustomerID]Quota
	routes map[string]map[string]*Route
}

// NewConfig returns an empty configuration of a version.
func NewConfig(version uint64) *Config {
	return &Config{
		Version:  version,
		Services: make(map[tables.ServiceID]Service),
		keys:     make(map[string]*Customer),
		quotas:   make(map[tables.CustomerID]Quota),
		routes:   make(map[string]map[string]*Route),
	}
}

// AddRoute adds a route.
func (c *Config) AddRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if c.routes[host] == nil {
		c.routes[host] = make(map[string]*Route)
	}
	c.routes[host][r.Prefix] = r
}

// AddCustomer adds a customer with its keys.
func (c *Config) AddCustomer(customer *Customer, keys []string) {
	c.Keyed = true
	c.quotas[customer.Name] = customer.Quota
	for _, k := range keys {
		c.keys[k] = customer
	}
}

// Route returns the route with the longest prefix of path, or nil.
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

// Customer returns the customer that holds key, or nil.
func (c *Config) Customer(key string) *Customer { return c.keys[key] }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, prefixes := range c.routes {
		n += len(prefixes)
	}
	return n
}

// Quotas returns the quotas of all customers, which must not be changed.
func (c *Config) Quotas() map[tables.CustomerID]Quota { return c.quotas }

// QuotaOf returns the quota of a customer; the zero Quota when it has none.
func (c *Config) QuotaOf(id tables.CustomerID) Quota { return c.quotas[id] }
