package capacity

// meter collects slopes and keeps the first failure, so that a measurement
// reads as a list.
type meter struct {
	slopes []Slope
	err    error
}

// time adds the processor time of one run of f.
func (m *meter) time(name, per, method string, f func()) {
	if m.err != nil {
		return
	}
	seconds, err := secondsOf(f)
	m.err = err
	m.add(name, seconds, Seconds, per, "processor time of "+method)
}

// add adds a slope that was measured already.
func (m *meter) add(name string, value float64, unit, per, method string) {
	m.slopes = append(m.slopes, Slope{Name: name, Value: value, Unit: unit, Per: per, Method: method})
}

// result returns the slopes or the first failure.
func (m *meter) result() ([]Slope, error) { return m.slopes, m.err }
