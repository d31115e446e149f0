package orders_test

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// loadGenerator generates random demand for the services s and t and records it
// in the demand meters of the hosts. The lengths of requests vary by a factor of
// 100.
type loadGenerator struct {
	mu     sync.Mutex
	meters map[tables.HostID]*demand.Meter
	// rates are the mean rates in tokens per second.
	rates demand.Rates
}

// Lengths of requests are log-uniform between shortTokens and longTokens, with a
// mean of meanTokens; 4.605 is ln(longTokens/shortTokens).
const (
	shortTokens = 20
	longTokens  = 100 * shortTokens
	meanTokens  = (longTokens - shortTokens) / 4.605
)

func newLoadGenerator(cl *cluster, rates demand.Rates) *loadGenerator {
	l := &loadGenerator{meters: make(map[tables.HostID]*demand.Meter), rates: rates}
	for _, h := range cl.hosts {
		l.meters[h.self.ID] = demand.NewMeter()
	}
	return l
}

// run generates random requests every second until ctx is done, and adds their
// tokens to the meters of the hosts.
func (l *loadGenerator) run(ctx context.Context, cl *cluster) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		l.mu.Lock()
		for _, h := range cl.hosts {
			for _, id := range []tables.ServiceID{"s", "t"} {
				chance := l.rates[id] / meanTokens / float64(len(cl.hosts))
				for ; cl.rand.Float64() < chance; chance-- {
					tokens := shortTokens * math.Pow(longTokens/shortTokens, cl.rand.Float64())
					l.meters[h.self.ID].Add(time.Now(), id, int(tokens))
				}
			}
		}
		l.mu.Unlock()
	}
}

func (l *loadGenerator) setRates(rates demand.Rates) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
}

// Measure returns the measured demand at a host.
func (l *loadGenerator) Measure(_ context.Context, h tables.Host) (demand.Rates, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meters[h.ID].Rates(time.Now()), nil
}

// useTwoModels changes the configuration so that every engine may load either of
// two models, but not both.
func useTwoModels(doc *config.Document) {
	doc.Services = map[string]config.Service{
		"s": {Kind: config.ModelService, Model: "m"}, "t": {Kind: config.ModelService, Model: "n"},
	}
	for name, t := range doc.Targets {
		t.Services, t.ModelSlots = []string{"s", "t"}, 1
		doc.Targets[name] = t
	}
}

// countModel returns the number of engines whose current order includes a model,
// and the number of orders that all engines together have accepted.
func (cl *cluster) countModel(model string) (engines, orders int) {
	for _, e := range cl.engines {
		order, accepted := e.orders()
		if slices.Contains(order.Models, model) {
			engines++
		}
		orders += len(accepted)
	}
	return engines, orders
}

// runWithLoad runs a spec with twelve engines and generated demand.
func runWithLoad(seed uint64, rates demand.Rates, spec func(cl *cluster, l *loadGenerator)) {
	engineNames := []string{"a01x", "a02", "a03x", "a04", "a05", "a06", "a07", "a08", "a09", "a10", "a11", "a12"}
	runCluster(seed, engineNames, func(cl *cluster) {
		l := newLoadGenerator(cl, rates)
		for _, h := range cl.hosts {
			h.stop()
		}
		cl.changeDoc, cl.measure, cl.doc = useTwoModels, l.Measure, nil
		for _, h := range cl.hosts {
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go l.run(ctx, cl)
		spec(cl, l)
	})
}

// moveTimeout is the maximum time from a lasting shift of demand to the last
// resulting move of a model. It covers the time constant of the demand meter and,
// for each move, the swap delay and the load.
const moveTimeout = 30 * time.Minute

var _ = Describe("Demand", func() {
	It("does not move models because of noise, seeds 0 to 3", func() {
		forEachSeed(4, func(seed uint64) {
			runWithLoad(seed, demand.Rates{"s": 150, "t": 150}, func(cl *cluster, _ *loadGenerator) {
				time.Sleep(30 * time.Minute)
				before, orders := cl.countModel("m")
				Expect(before).To(Equal(6))
				time.Sleep(6 * time.Hour)
				after, laterOrders := cl.countModel("m")
				Expect(after).To(Equal(before))
				Expect(laterOrders).To(Equal(orders))
			})
		})
	})
	It("moves models one at a time after a lasting shift, and back after the reverse shift, seeds 0 to 3", func() {
		forEachSeed(4, func(seed uint64) {
			runWithLoad(seed, demand.Rates{"s": 150, "t": 150}, func(cl *cluster, l *loadGenerator) {
				time.Sleep(30 * time.Minute)
				l.setRates(demand.Rates{"s": 900, "t": 150})
				cl.expectSingleLoads(moveTimeout)
				engines, orders := cl.countModel("m")
				Expect(engines).To(Equal(9), "the demand per engine is 100 to 50 after the last move, above the hysteresis, and would be 90 to 75 after another, below it")
				l.setRates(demand.Rates{"s": 150, "t": 900})
				cl.expectSingleLoads(2 * moveTimeout)
				engines, laterOrders := cl.countModel("n")
				Expect(engines).To(Equal(9))
				Expect(laterOrders-orders).To(Equal(6), "no model is moved back and forth")
			})
		})
	})
	It("is preserved when the holder of the lease stops", func() {
		runWithLoad(1, demand.Rates{"s": 900, "t": 150}, func(cl *cluster, _ *loadGenerator) {
			time.Sleep(time.Hour)
			before, orders := cl.countModel("m")
			Expect(before).To(Equal(9))
			first := cl.holder("orders/a")
			first.stop()
			time.Sleep(5 * time.Minute)
			after, laterOrders := cl.countModel("m")
			Expect(after).To(Equal(before))
			Expect(laterOrders).To(Equal(orders+len(cl.engines)), "each engine gets one more order, with the new fencing number")
			first.start()
		})
	})
})

// expectSingleLoads checks every second, for the duration d, that at most one
// engine is loading.
func (cl *cluster) expectSingleLoads(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		loading := 0
		for _, e := range cl.engines {
			if s, _ := e.State(context.Background()); s.Loading {
				loading++
			}
		}
		Expect(loading).To(BeNumerically("<=", 1))
	}
}
