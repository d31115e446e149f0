package observe

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// KindOK is the value on success of the label kind, and of the label result of store
// calls.
const KindOK = "ok"

// WasteReason is the reason why the computation of prompt tokens was wasted.
type WasteReason string

// Reasons for wasted prefill.
const (
	// WasteCancelled means that the request was cancelled.
	WasteCancelled WasteReason = "cancelled"
	// WasteLate means that the response arrived after the deadline.
	WasteLate WasteReason = "late"
	// WasteLost means that the target failed or the response was lost.
	WasteLost WasteReason = "lost"
	// WasteRecomputed means that another suitable engine had the prefix in its cache.
	WasteRecomputed WasteReason = "recomputed"
)

// ClaimResult is the result of one attempt to claim an idempotency key.
type ClaimResult string

// Results of claims. ClaimJoined means that another request holds the key.
const (
	ClaimWon         ClaimResult = "won"
	ClaimJoined      ClaimResult = "joined"
	ClaimRefused     ClaimResult = "refused"
	ClaimUnavailable ClaimResult = "unavailable"
)

// Metrics are the counters, gauges and histograms of one process. All methods
// are safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	requests           *prometheus.CounterVec
	inFlight           prometheus.Gauge
	queue              *prometheus.HistogramVec
	firstToken         *prometheus.HistogramVec
	tokenGap           *prometheus.HistogramVec
	tokens             *prometheus.CounterVec
	dispatches         *prometheus.CounterVec
	cancels            *prometheus.CounterVec
	claims             *prometheus.CounterVec
	configVersion      prometheus.Gauge
	peersUp            prometheus.Gauge
	configLogReachable prometheus.Gauge
	wastedPrefill      *prometheus.CounterVec
}

// NewMetrics returns metrics registered in a new registry, together with those of the
// Go runtime and the process.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Metrics{
		registry:           r,
		requests:           counter(r, requestsTotal),
		inFlight:           gauge(r, inFlightRequests),
		queue:              histogram(r, queueSeconds),
		firstToken:         histogram(r, firstTokenSeconds),
		tokenGap:           histogram(r, tokenGapSeconds),
		tokens:             counter(r, tokensTotal),
		dispatches:         counter(r, dispatchesTotal),
		cancels:            counter(r, cancelsTotal),
		claims:             counter(r, claimsTotal),
		configVersion:      gauge(r, configVersion),
		peersUp:            gauge(r, peersUp),
		configLogReachable: gauge(r, configLogReachable),
		wastedPrefill:      counter(r, wastedPrefillTokensTotal),
	}
}

// RequestEnded counts a completed request by its error kind.
func (m *Metrics) RequestEnded(s tables.ServiceID, tier string, k errkind.Kind) {
	m.requests.WithLabelValues(string(s), tier, kindLabel(k)).Inc()
}

// AddInFlight changes the number of open requests by delta.
func (m *Metrics) AddInFlight(delta int) { m.inFlight.Add(float64(delta)) }

// Queued records the time that a request spent in a dispatcher's queue.
func (m *Metrics) Queued(tier string, d time.Duration) {
	m.queue.WithLabelValues(tier).Observe(d.Seconds())
}

// FirstToken records the time from arrival to the first token.
func (m *Metrics) FirstToken(tier string, d time.Duration) {
	m.firstToken.WithLabelValues(tier).Observe(d.Seconds())
}

// TokenGap records the time between two tokens of one response.
func (m *Metrics) TokenGap(tier string, d time.Duration) {
	m.tokenGap.WithLabelValues(tier).Observe(d.Seconds())
}

// TokensRelayed counts response tokens sent to callers.
func (m *Metrics) TokensRelayed(tier string, n int) {
	m.tokens.WithLabelValues(tier).Add(float64(n))
}

// Dispatched counts a request sent to a target.
func (m *Metrics) Dispatched(s tables.ServiceID) {
	m.dispatches.WithLabelValues(string(s)).Inc()
}

// Cancelled counts a cancellation sent to a target, by the error kind that caused it.
func (m *Metrics) Cancelled(k errkind.Kind) {
	m.cancels.WithLabelValues(kindLabel(k)).Inc()
}

// Claimed counts one attempt to claim an idempotency key.
func (m *Metrics) Claimed(r ClaimResult) { m.claims.WithLabelValues(string(r)).Inc() }

// SetConfigVersion records the configuration version in force.
func (m *Metrics) SetConfigVersion(v uint64) { m.configVersion.Set(float64(v)) }

// SetPeersUp records how many peers answer heartbeats.
func (m *Metrics) SetPeersUp(n int) { m.peersUp.Set(float64(n)) }

// SetConfigLogReachable records whether the last read of the configuration log succeeded.
func (m *Metrics) SetConfigLogReachable(ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	m.configLogReachable.Set(value)
}

// WastedPrefill counts prompt tokens whose computation was wasted.
func (m *Metrics) WastedPrefill(r WasteReason, tokens int) {
	m.wastedPrefill.WithLabelValues(string(r)).Add(float64(tokens))
}

func kindLabel(k errkind.Kind) string {
	if k == errkind.None {
		return KindOK
	}
	return string(k)
}

func counter(r *prometheus.Registry, d Definition) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Help}, d.Labels)
	r.MustRegister(c)
	return c
}

func gauge(r *prometheus.Registry, d Definition) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Name: d.Name, Help: d.Help})
	r.MustRegister(g)
	return g
}

func histogram(r *prometheus.Registry, d Definition) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: d.Name, Help: d.Help, Buckets: d.Buckets}, d.Labels)
	r.MustRegister(h)
	return h
}
