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

// load is random demand for the services s and t, whose requests differ a
// hundredfold in length, measured by the dispatchers of the hosts.
type load struct {
	mu     sync.Mutex
	meters map[tables.HostID]*demand.Meter
	// rates are the means in tokens per second.
	rates demand.Rates
}

// meanTokens is the mean length of a request; lengths are log-uniform.
const (
	shortTokens = 20
	longTokens  = 100 * shortTokens
	meanTokens  = (longTokens - shortTokens) / 4.605
)

func newLoad(w *world, rates demand.Rates) *load {
	l := &load{meters: make(map[tables.HostID]*demand.Meter), rates: rates}
	for _, h := range w.hosts {
		l.meters[h.self.ID] = demand.NewMeter()
	}
	return l
}

// run adds requests every second until ctx ends.
func (l *load) run(ctx context.Context, w *world) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		l.mu.Lock()
		for _, h := range w.hosts {
			for _, id := range []tables.ServiceID{"s", "t"} {
				chance := l.rates[id] / meanTokens / float64(len(w.hosts))
				for ; w.rand.Float64() < chance; chance-- {
					tokens := shortTokens * math.Pow(longTokens/shortTokens, w.rand.Float64())
					l.meters[h.self.ID].Add(time.Now(), id, int(tokens))
				}
			}
		}
		l.mu.Unlock()
	}
}

func (l *load) shift(rates demand.Rates) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
}

// Measure answers for the dispatcher of a host.
func (l *load) Measure(_ context.Context, h tables.Host) (demand.Rates, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meters[h.ID].Rates(time.Now()), nil
}

// twoModels lets every engine hold one of two models.
func twoModels(doc *config.Document) {
	doc.Services = map[string]config.Service{
		"s": {Kind: config.ModelService, Model: "m"}, "t": {Kind: config.ModelService, Model: "n"},
	}
	for name, t := range doc.Targets {
		t.Services, t.ModelSlots = []string{"s", "t"}, 1
		doc.Targets[name] = t
	}
}

// holding counts the engines with a model and the loads that were ordered.
func (w *world) holding(model string) (engines, orders int) {
	for _, e := range w.engines {
		order, taken := e.read()
		if slices.Contains(order.Models, model) {
			engines++
		}
		orders += len(taken)
	}
	return engines, orders
}

// inLoad runs a spec with twelve engines under a load.
func inLoad(seed uint64, rates demand.Rates, spec func(w *world, l *load)) {
	names := []string{"a01x", "a02", "a03x", "a04", "a05", "a06", "a07", "a08", "a09", "a10", "a11", "a12"}
	inWorld(seed, names, func(w *world) {
		l := newLoad(w, rates)
		for _, h := range w.hosts {
			h.end()
		}
		w.change, w.measure, w.doc = twoModels, l.Measure, nil
		for _, h := range w.hosts {
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go l.run(ctx, w)
		spec(w, l)
	})
}

// moveWithin bounds the time from a lasting shift of demand to the last move of
// a model for it: the time of the meter to follow, and for each move the time
// that the difference must last and the load.
const moveWithin = 30 * time.Minute

var _ = Describe("Demand", func() {
	It("moves no model for noise, seeds 0 to 3", func() {
		eachSeed(4, func(seed uint64) {
			inLoad(seed, demand.Rates{"s": 150, "t": 150}, func(w *world, _ *load) {
				time.Sleep(30 * time.Minute)
				before, orders := w.holding("m")
				Expect(before).To(Equal(6))
				time.Sleep(6 * time.Hour)
				after, later := w.holding("m")
				Expect(after).To(Equal(before))
				Expect(later).To(Equal(orders))
			})
		})
	})
	It("moves models for a lasting shift, one load at a time, and back, seeds 0 to 3", func() {
		eachSeed(4, func(seed uint64) {
			inLoad(seed, demand.Rates{"s": 150, "t": 150}, func(w *world, l *load) {
				time.Sleep(30 * time.Minute)
				l.shift(demand.Rates{"s": 900, "t": 150})
				w.watchLoads(moveWithin)
				engines, orders := w.holding("m")
				Expect(engines).To(Equal(9), "90 for each engine against 75 is below the hysteresis, 100 against 50 above")
				l.shift(demand.Rates{"s": 150, "t": 900})
				w.watchLoads(2 * moveWithin)
				engines, later := w.holding("n")
				Expect(engines).To(Equal(9))
				Expect(later-orders).To(Equal(6), "no model moves to and fro")
			})
		})
	})
	It("outlives the holder of the lease", func() {
		inLoad(1, demand.Rates{"s": 900, "t": 150}, func(w *world, _ *load) {
			time.Sleep(time.Hour)
			before, orders := w.holding("m")
			Expect(before).To(Equal(9))
			first := w.holder("orders/a")
			first.end()
			time.Sleep(5 * time.Minute)
			after, later := w.holding("m")
			Expect(after).To(Equal(before))
			Expect(later).To(Equal(orders+len(w.engines)), "each engine is ordered once more, under the new fence")
			first.start()
		})
	})
})

// watchLoads looks for a time that no more engines load than may at once.
func (w *world) watchLoads(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		loading := 0
		for _, e := range w.engines {
			if s, _ := e.State(context.Background()); s.Loading {
				loading++
			}
		}
		Expect(loading).To(BeNumerically("<=", 1))
	}
}
