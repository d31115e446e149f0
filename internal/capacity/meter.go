package capacity

// meter collects slopes and the first error, so that callers check for an error once. After
// the first error it measures nothing more.
type meter struct {
	slopes []Slope
	err    error
}

// addTime measures and adds the processor time of one run of f.
func (m *meter) addTime(name, per, method string, f func()) {
	if m.err != nil {
		return
	}
	seconds, err := secondsPerRun(f)
	m.err = err
	m.add(name, seconds, Seconds, per, "processor time of "+method)
}

// add adds a slope with a measured value.
func (m *meter) add(name string, value float64, unit, per, method string) {
	m.slopes = append(m.slopes, Slope{Name: name, Value: value, Unit: unit, Per: per, Method: method})
}

// result returns the slopes and the first error.
func (m *meter) result() ([]Slope, error) { return m.slopes, m.err }
