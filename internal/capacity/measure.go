package capacity

import "fmt"

// Measure takes every slope at a size. It needs about half a minute of an
// otherwise quiet machine.
func Measure(s Size) ([]Slope, error) {
	parts := []struct {
		name    string
		measure func(Size) ([]Slope, error)
	}{
		{"configuration", configSlopes},
		{"members", memberSlopes},
		{"claims", claimSlopes},
		{"schedule", scheduleSlopes},
		{"wire", wireSlopes},
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
