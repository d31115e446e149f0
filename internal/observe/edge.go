package observe

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// EdgeMetrics holds the metrics of an edge process. All methods are safe for
// concurrent use.
type EdgeMetrics struct {
	registry          *prometheus.Registry
	openRequests      prometheus.Gauge
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
	sends             *prometheus.CounterVec
	failedSends       *prometheus.CounterVec
	answers           *prometheus.CounterVec
	withheldAnswers   *prometheus.CounterVec
	unframedEnds      *prometheus.CounterVec
	crashEvidence     *prometheus.CounterVec
	causeTrials       *prometheus.CounterVec
	causeReleases     *prometheus.CounterVec
	refusedPeers      *prometheus.CounterVec
	storeCalls        *prometheus.CounterVec
	slotRefusals      *slotRefusals
	hostCount         prometheus.Gauge
	rollouts          rolloutGauges
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8, 16}

// NewEdgeMetrics returns metrics registered in a new registry.
func NewEdgeMetrics() *EdgeMetrics {
	e := &EdgeMetrics{
		registry: prometheus.NewRegistry(),
		openRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bluebell_edge_open_requests", Help: "Requests of callers that are not answered yet."}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_requests_total", Help: "Requests by service and error kind; ok without one."}, []string{"service", "kind"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bluebell_edge_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: latencyBuckets}, []string{"service"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bluebell_edge_first_event_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: latencyBuckets}, []string{"service"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_sends_total", Help: "Sends to targets."}, []string{"service"}),
		failedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_failed_sends_total", Help: "Sends that brought no whole answer."}, []string{"service"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_answers_total", Help: "Answers of targets by framing: stated by a length or chunks, or by the end of the connection."}, []string{"framing"}),
		withheldAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: withheldAnswers.Name, Help: withheldAnswers.Help}, withheldAnswers.Labels),
		unframedEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_unframed_ends_total", Help: "Ends of answers without a length or chunks, over connections of this host, by how they were judged and the evidence that decided it."}, []string{"verdict", "evidence"}),
		crashEvidence: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_crash_evidence_total", Help: "Failed calls to targets by what they say of a crash: recorded as a loss, or why not (answered, silent, abandoned, host_lost, none)."}, []string{"result"}),
		causeTrials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: causeTrials.Name, Help: causeTrials.Help}, causeTrials.Labels),
		causeReleases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: causeReleases.Name, Help: causeReleases.Help}, causeReleases.Labels),
		refusedPeers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: refusedPeers.Name, Help: refusedPeers.Help}, refusedPeers.Labels),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_store_calls_total", Help: "Calls to the platform's store."}, []string{"call", "result"}),
		slotRefusals: newSlotRefusals(),
		hostCount:    prometheus.NewGauge(prometheus.GaugeOpts{Name: hostCount.Name, Help: hostCount.Help}),
	}
	e.registry.MustRegister(e.slotRefusals.refused, e.slotRefusals.surplus)
	e.registry.MustRegister(e.openRequests, e.requests, e.requestSeconds, e.firstEventSeconds, e.sends, e.failedSends, e.answers, e.withheldAnswers, e.unframedEnds, e.crashEvidence, e.causeTrials, e.causeReleases, e.refusedPeers, e.storeCalls, e.hostCount)
	e.rollouts = newRolloutGauges(e.registry)
	return e
}

// AddOpenRequests changes the number of open requests by delta.
func (e *EdgeMetrics) AddOpenRequests(delta int) { e.openRequests.Add(float64(delta)) }

// RequestEnded counts a completed request and records its duration.
func (e *EdgeMetrics) RequestEnded(service string, k errkind.Kind, d time.Duration) {
	e.requests.WithLabelValues(service, kindLabel(k)).Inc()
	e.requestSeconds.WithLabelValues(service).Observe(d.Seconds())
}

// FirstEvent records the time to the first event of a stream.
func (e *EdgeMetrics) FirstEvent(service string, d time.Duration) {
	e.firstEventSeconds.WithLabelValues(service).Observe(d.Seconds())
}

// Sent counts a request sent to a target.
func (e *EdgeMetrics) Sent(service string) { e.sends.WithLabelValues(service).Inc() }

// SendFailed counts a request sent to a target without a complete response.
func (e *EdgeMetrics) SendFailed(service string) { e.failedSends.WithLabelValues(service).Inc() }

// Answered counts an answer of a target by whether its framing states where it ends.
func (e *EdgeMetrics) Answered(framed bool) {
	framing := "connection"
	if framed {
		framing = "stated"
	}
	e.answers.WithLabelValues(framing).Inc()
}

// AnswerWithheld counts an answer of a target whose status states that the request has not run, and
// that does not prove it.
func (e *EdgeMetrics) AnswerWithheld(status int) {
	e.withheldAnswers.WithLabelValues(strconv.Itoa(status)).Inc()
}

// UnframedEnded counts the end of an answer without a length by its verdict and the evidence
// that decided it.
func (e *EdgeMetrics) UnframedEnded(verdict, evidence string) {
	e.unframedEnds.WithLabelValues(verdict, evidence).Inc()
}

// PeerRefused counts a refused peer.
func (e *EdgeMetrics) PeerRefused(way, reason string) {
	e.refusedPeers.WithLabelValues(way, reason).Inc()
}

// CallFailed counts a failed call to a target by what it says of a crash.
func (e *EdgeMetrics) CallFailed(result string) { e.crashEvidence.WithLabelValues(result).Inc() }

// CauseTried counts a trial of a cause of crashes by its result.
func (e *EdgeMetrics) CauseTried(result string) { e.causeTrials.WithLabelValues(result).Inc() }

// CauseReleased counts a cause of crashes that was released, by who has released it.
func (e *EdgeMetrics) CauseReleased(by string) { e.causeReleases.WithLabelValues(by).Inc() }

// SetHostCount sets the number of hosts; zero if it is not known.
func (e *EdgeMetrics) SetHostCount(n int) { e.hostCount.Set(float64(n)) }

// StoreCalled counts a call to the platform's store.
func (e *EdgeMetrics) StoreCalled(call string, err error) {
	result := KindOK
	if err != nil {
		result = "failed"
	}
	e.storeCalls.WithLabelValues(call, result).Inc()
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (e *EdgeMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}
