package demo

import (
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

// document is the first configuration of the demo site.
func (s *site) document() config.Document {
	d := config.Document{
		Tiers: map[string]config.Tier{
			"urgent": {Rank: 0, FirstTokenMillis: 1000, DeadlineMillis: 20_000},
			"normal": {Rank: 1, FirstTokenMillis: 5000, DeadlineMillis: 60_000},
		},
		Customers: map[string]config.Customer{
			"museum":  {KeySHA256: map[string]string{"first": digest("museum-key")}, Share: 2},
			"archive": {KeySHA256: map[string]string{"first": digest("archive-key")}, Share: 1},
		},
		Services: map[string]config.Service{
			"report": {Kind: config.ModelService, Model: "restorer", Tier: "urgent"},
			"desk": {Kind: config.PlainService, Tier: "normal", Operations: map[string]config.Operation{
				"confirm": {NonIdempotent: true},
				"lookup":  {},
			}},
		},
		Generations: map[string]config.Generation{
			"g1": {PrefillTokensPerSecond: 20_000, StepMillis: 5, StepMillisPerSequence: 0.2},
		},
		Operators: map[string]config.Operator{
			"ops": {KeySHA256: map[string]string{"first": digest(operatorKey)}},
		},
		Targets: map[string]config.Target{
			"desk-1": {Address: s.deskAddress, FailureDomain: "domain-1", Services: []string{"desk"}},
		},
	}
	for i, address := range s.addresses {
		d.Targets[fmt.Sprintf("engine-%d", i+1)] = config.Target{
			Address: address, FailureDomain: string(domain(i)), Generation: "g1", Services: []string{"report"},
		}
	}
	return d
}
