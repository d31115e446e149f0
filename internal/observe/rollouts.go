package observe

import "github.com/prometheus/client_golang/prometheus"

// Rollout holds the values of the metrics of one rollout.
type Rollout struct {
	Service, Phase         string
	Requests, Exposed, Bad int64
}

// rolloutGauges are the metrics of rollouts.
type rolloutGauges struct{ phase, requests, exposed, bad *prometheus.GaugeVec }

func newRolloutGauges(registry *prometheus.Registry) rolloutGauges {
	gauge := func(d Definition) *prometheus.GaugeVec {
		vec := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: d.Name, Help: d.Help}, d.Labels)
		registry.MustRegister(vec)
		return vec
	}
	return rolloutGauges{gauge(rolloutPhase), gauge(rolloutRequests), gauge(rolloutExposed), gauge(rolloutBad)}
}

// SetRollouts replaces the metrics of rollouts.
func (e *EdgeMetrics) SetRollouts(all []Rollout) {
	g := e.rollouts
	for _, vec := range []*prometheus.GaugeVec{g.phase, g.requests, g.exposed, g.bad} {
		vec.Reset()
	}
	for _, r := range all {
		g.phase.WithLabelValues(r.Service, r.Phase).Set(1)
		g.requests.WithLabelValues(r.Service).Set(float64(r.Requests))
		g.exposed.WithLabelValues(r.Service).Set(float64(r.Exposed))
		g.bad.WithLabelValues(r.Service).Set(float64(r.Bad))
	}
}
