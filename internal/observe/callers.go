package observe

import "github.com/prometheus/client_golang/prometheus"

// CallerMetrics holds the metrics of what a host does against callers that misbehave. It is
// safe for concurrent use.
type CallerMetrics struct {
	refusals, evictions *prometheus.CounterVec
}

// NewCallerMetrics returns metrics registered in e. bytesInUse and connections are called when
// the metrics are read.
func NewCallerMetrics(e *EdgeMetrics, bytesInUse, connections func() float64) *CallerMetrics {
	m := &CallerMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_caller_refusals_total", Help: "Requests refused, or connections closed, because a caller took too much memory or time: header, body or slow_body."}, []string{"reason"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_evicted_connections_total", Help: "Connections closed to make room for another one, by port."}, []string{"port"}),
	}
	e.registry.MustRegister(m.refusals, m.evictions,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bluebell_edge_budget_bytes", Help: "Bytes of the memory budget of requests that are reserved now."}, bytesInUse),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bluebell_edge_caller_connections", Help: "Open connections of callers."}, connections))
	return m
}

// Refused counts a request that was refused, or a connection that was closed, for a reason.
func (m *CallerMetrics) Refused(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// Evicted counts a connection that was closed to make room for another one.
func (m *CallerMetrics) Evicted(port string) { m.evictions.WithLabelValues(port).Inc() }
