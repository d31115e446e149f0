package observe

import "github.com/prometheus/client_golang/prometheus"

// StreamExtent is what a host knows of a stream of the store.
type StreamExtent struct {
	// End is the offset before which all records are known; -1 before the first read.
	End int64
	// Keys is the number of keys that have a value.
	Keys int
}

// RegisterKeyRequired adds the metric that tells whether API keys are required. required is
// called when the metrics are read.
func (e *EdgeMetrics) RegisterKeyRequired(required func() bool) {
	e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: keyRequired.Name, Help: keyRequired.Help}, func() float64 {
		if required() {
			return 1
		}
		return 0
	}))
}

// RegisterStream adds the metrics of a stream. extent is called when the metrics are read.
func (e *EdgeMetrics) RegisterStream(name string, extent func() StreamExtent) {
	gauge := func(d Definition, value func() float64) prometheus.Collector {
		opts := prometheus.GaugeOpts{Name: d.Name, Help: d.Help, ConstLabels: prometheus.Labels{"stream": name}}
		return prometheus.NewGaugeFunc(opts, value)
	}
	e.registry.MustRegister(
		gauge(streamEnd, func() float64 { return float64(extent().End) }),
		gauge(streamKeys, func() float64 { return float64(extent().Keys) }),
	)
}
