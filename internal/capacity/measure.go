package capacity

import "fmt"

// MeasureSlopes takes every slope at a size. It needs about two minutes. The figures are
// processor time, but a quiet machine still gives steadier ones.
func MeasureSlopes(s Size) ([]Slope, error) {
	parts := []struct {
		name    string
		measure func(Size) ([]Slope, error)
	}{
		{"configuration", configSlopes},
		{"members", memberSlopes},
		{"claims", claimSlopes},
		{"schedule", scheduleSlopes},
		{"wire", wireSlopes},
		{"feed", feedSlopes},
		{"polls", pollSlopes},
		{"leases", leaseSlopes},
		{"hosts", hostSlopes},
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
