package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Size describes the size and the load of a deployment.
type Size struct {
	// Nodes is the number of hosts.
	Nodes     int
	Engines   int
	Customers int
	Models    int
	Tiers     int
	// EngineGenerations is the number of hardware generations of the engines.
	EngineGenerations int
	Regions           int
	FailureDomains    int
	RequestsPerSec    float64
	TokensPerSec      float64
	// ChangesPerDay is the number of configuration changes per day.
	ChangesPerDay float64
	// RestartsPerDay is the number of host restarts per day.
	RestartsPerDay   float64
	ProcessesPerNode int
	// ReadersPerNode is the number of processes of a node that read the host list and
	// the log and exchange heartbeats. They feed the other processes.
	ReadersPerNode int
}

// TargetSize returns the size that the system is designed for.
func TargetSize() Size {
	return Size{
		Nodes:             410,
		Engines:           1000,
		Customers:         580,
		Models:            8,
		Tiers:             4,
		EngineGenerations: 3,
		Regions:           8,
		FailureDomains:    18,
		RequestsPerSec:    590,
		TokensPerSec:      220_000,
		ChangesPerDay:     5100,
		RestartsPerDay:    130,
		ProcessesPerNode:  3,
		ReadersPerNode:    1,
	}
}

// Budget limits the costs of the control plane for one node.
type Budget struct {
	// CoreShare is the processor time, as a share of one core.
	CoreShare   float64
	MemoryBytes float64
	BytesPerSec float64
}

// TargetBudget returns the budget at the target size.
func TargetBudget() Budget {
	return Budget{CoreShare: 0.024, MemoryBytes: 128e6, BytesPerSec: 2000}
}

// document returns a valid configuration of size s.
func (s Size) document() *config.Document {
	d := &config.Document{
		Tiers:       make(map[string]config.Tier),
		Customers:   make(map[string]config.Customer),
		Services:    make(map[string]config.Service),
		Targets:     make(map[string]config.Target),
		Generations: make(map[string]config.Generation),
		Operators:   map[string]config.Operator{"operator-1": {KeySHA256: map[string]string{"a": keyHash("operator")}}},
	}
	for i := range s.Tiers {
		d.Tiers[fmt.Sprintf("tier-%d", i)] = config.Tier{Rank: i, FirstTokenMillis: 670, DeadlineMillis: 60_000 * (i + 1)}
	}
	for i := range s.EngineGenerations {
		d.Generations[fmt.Sprintf("generation-%d", i)] = config.Generation{PrefillTokensPerSecond: 8000, StepMillis: 12, StepMillisPerSequence: 0.4}
	}
	for i := range s.Models {
		d.Services[serviceName(i)] = config.Service{Kind: config.ModelService, Model: serviceName(i), Tier: "tier-1"}
	}
	for i := range s.Engines {
		d.Targets[engineName(i)] = config.Target{
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", i/62500, i/250%250, i%250+1),
			FailureDomain: domainName(i % s.FailureDomains),
			Generation:    fmt.Sprintf("generation-%d", i%s.EngineGenerations),
			Services:      []string{serviceName(i % s.Models)},
			ChecksFencing: i%2 == 0,
			WindowMin:     1,
			WindowMax:     32,
		}
	}
	for i := range s.Customers {
		name := customerName(i)
		d.Customers[name] = config.Customer{KeySHA256: map[string]string{"2026-12": keyHash(name)}, Share: 1}
	}
	return d
}

// listing returns a host list of size s.
func (s Size) listing() ports.Listing {
	l := ports.Listing{Version: 1, Targets: make(map[tables.TargetID]tables.HostState)}
	for i := range s.Nodes {
		l.Hosts = append(l.Hosts, s.host(i))
	}
	for i := range s.Engines {
		l.Targets[tables.TargetID(engineName(i))] = tables.HostLive
	}
	return l
}

func (s Size) host(i int) tables.Host {
	return tables.Host{
		ID:          tables.HostID(hostName(i)),
		Domain:      tables.DomainID(domainName(i % s.FailureDomains)),
		PeerAddress: fmt.Sprintf("10.200.%d.%d:7070", i/250, i%250+1),
		Listed:      tables.HostLive,
		Incarnation: time.Unix(1_800_000_000, 0).UnixNano(),
	}
}

// enginesPerModel returns the mean number of engines that serve a model, rounded down.
func (s Size) enginesPerModel() int { return s.Engines / s.Models }

func hostName(i int) string     { return fmt.Sprintf("entry-%03d", i) }
func domainName(i int) string   { return fmt.Sprintf("domain-%02d", i) }
func engineName(i int) string   { return fmt.Sprintf("engine-%04d", i) }
func serviceName(i int) string  { return fmt.Sprintf("model-%d", i) }
func customerName(i int) string { return fmt.Sprintf("customer-%03d", i) }

// keyHash returns the hex SHA-256 digest of key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
