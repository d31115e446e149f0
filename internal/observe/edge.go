package observe

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Edge holds the metrics of an edge process. All methods are safe for
// concurrent use.
type Edge struct {
	registry   *prometheus.Registry
	open       prometheus.Gauge
	ended      *prometheus.CounterVec
	took       *prometheus.HistogramVec
	first      *prometheus.HistogramVec
	sent       *prometheus.CounterVec
	sendFailed *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8, 16}

// NewEdge returns metrics in a registry of their own.
func NewEdge() *Edge {
	e := &Edge{
		registry: prometheus.NewRegistry(),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bluebell_edge_open_requests", Help: "Requests of callers that are not answered yet."}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_requests_total", Help: "Requests by service and error kind; ok without one."}, []string{"service", "kind"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bluebell_edge_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: latencyBuckets}, []string{"service"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bluebell_edge_first_event_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: latencyBuckets}, []string{"service"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_sends_total", Help: "Sends to targets."}, []string{"service"}),
		sendFailed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_failed_sends_total", Help: "Sends that brought no whole answer."}, []string{"service"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_store_calls_total", Help: "Calls to the platform's store."}, []string{"call", "result"}),
	}
	e.registry.MustRegister(e.open, e.ended, e.took, e.first, e.sent, e.sendFailed, e.storeCalls)
	return e
}

// Open changes the number of open requests.
func (e *Edge) Open(delta int) { e.open.Add(float64(delta)) }

// Ended counts a request that has ended.
func (e *Edge) Ended(service string, k errkind.Kind, took time.Duration) {
	e.ended.WithLabelValues(service, kindLabel(k)).Inc()
	e.took.WithLabelValues(service).Observe(took.Seconds())
}

// First records the time to the first event of a stream.
func (e *Edge) First(service string, took time.Duration) {
	e.first.WithLabelValues(service).Observe(took.Seconds())
}

// Sent counts a send to a target.
func (e *Edge) Sent(service string) { e.sent.WithLabelValues(service).Inc() }

// SendFailed counts a send without a whole answer.
func (e *Edge) SendFailed(service string) { e.sendFailed.WithLabelValues(service).Inc() }

// StoreCalled counts a call to the platform's store.
func (e *Edge) StoreCalled(call string, err error) {
	result := KindOK
	if err != nil {
		result = "failed"
	}
	e.storeCalls.WithLabelValues(call, result).Inc()
}

// Handler serves the metrics as text.
func (e *Edge) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}
