package capacity

import "fmt"

// MeasureSlopes measures all slopes at size s. It takes about two minutes. Times are
// processor times, but they still vary less on an idle machine.
func MeasureSlopes(s Size) ([]Slope, error) {
	parts := []struct {
		name    string
		measure func(Size) ([]Slope, error)
	}{
		{"configuration", measureConfigSlopes},
		{"members", measureMemberSlopes},
		{"claims", measureClaimSlopes},
		{"schedule", measureSchedulingSlopes},
		{"wire", measureWireSlopes},
		{"feed", measureFeedSlopes},
		{"polls", measurePollSlopes},
		{"leases", measureLeaseSlopes},
		{"hosts", measureHostSlopes},
	}
	var all []Slope
	for _, p := range parts {
		slopes, err := p.measure(s)
		if err != nil {
			return nil, fmt.Errorf("slopes of %s: %w", p.name, err)
		}
		all = append(all, slopes...)
	}
	return all, nil
}
