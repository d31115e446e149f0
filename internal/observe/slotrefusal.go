package observe

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxCustomerLabels bounds the customers that have a time series of their own; there may
	// be hundreds. The others count as LabelOther.
	maxCustomerLabels = 50
	// maxRefusalLabels bounds the pairs of a service and a tier. Callers choose neither, but
	// a configuration may hold any number.
	maxRefusalLabels = 100
)

// LabelOther is the label of what exceeds the bound of a label set.
const LabelOther = "other"

// SlotRefusal is a refused slot request.
type SlotRefusal struct {
	Service string
	Tier    int
	Reason  string
	// Surplus is true if the request was beyond the share of Customer.
	Surplus  bool
	Customer string
}

// slotRefusals counts refused slot requests. It is safe for concurrent use.
type slotRefusals struct {
	refused, surplus *prometheus.CounterVec
	services         labelSet
	customers        labelSet
}

func newSlotRefusals() *slotRefusals {
	return &slotRefusals{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_slot_refusals_total", Help: "Slot requests that this host refused as the coordinator or in its local fallback."}, []string{"service", "tier", "reason"}),
		surplus: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_edge_surplus_refusals_total", Help: "Refused slot requests that were beyond the share of their customer, by customer; other beyond 50 customers."}, []string{"service", "tier", "customer"}),
		services:  labelSet{max: maxRefusalLabels},
		customers: labelSet{max: maxCustomerLabels},
	}
}

func (s *slotRefusals) count(r SlotRefusal) {
	service, tier := r.Service, strconv.Itoa(r.Tier)
	if !s.services.admits(service + "/" + tier) {
		service, tier = LabelOther, LabelOther
	}
	s.refused.WithLabelValues(service, tier, r.Reason).Inc()
	if !r.Surplus {
		return
	}
	customer := r.Customer
	if !s.customers.admits(customer) {
		customer = LabelOther
	}
	s.surplus.WithLabelValues(service, tier, customer).Inc()
}

// labelSet admits the first values up to a bound.
type labelSet struct {
	max   int
	mu    sync.Mutex
	known map[string]bool
}

func (l *labelSet) admits(value string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return true
	}
	if len(l.known) >= l.max {
		return false
	}
	if l.known == nil {
		l.known = make(map[string]bool)
	}
	l.known[value] = true
	return true
}

// SlotRefused counts a refused slot request.
func (e *EdgeMetrics) SlotRefused(r SlotRefusal) { e.slotRefusals.count(r) }
