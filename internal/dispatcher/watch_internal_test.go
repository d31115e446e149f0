package dispatcher

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// reads counts the reads of the state and of the cache events that are due in the
// given number of rounds.
func reads(w engineWatch, rounds int, running, allLoaded bool) (last engineWatch, states, events int) {
	for range rounds {
		w = w.next(running, allLoaded)
		if w.stateDue() {
			states++
		}
		if w.eventsDue() {
			events++
		}
	}
	return w, states, events
}

var _ = Describe("Engine watch", func() {
	It("reads cache events in every round until idleRounds rounds after the last running request, then less often", func() {
		w, _, events := reads(engineWatch{}, 100, true, true)
		Expect(events).To(Equal(100))
		w, _, events = reads(w, idleRounds-1, false, true)
		Expect(events).To(Equal(idleRounds - 1))
		w, _, _ = reads(w, 1, false, true)
		_, _, events = reads(w, 100, false, true)
		Expect(events).To(Equal(100 / slowRounds))
		w, _, events = reads(w, 1, true, true)
		Expect(events).To(Equal(1))
		Expect(w.eventsDue()).To(BeTrue())
	})
	It("reads the state in every round while a service is not loaded, then less often", func() {
		w, states, _ := reads(engineWatch{}, 100, true, false)
		Expect(states).To(Equal(100))
		w, states, _ = reads(w, 100, true, true)
		Expect(states).To(Equal(100 / slowRounds))
		Expect(w.next(true, false).stateDue()).To(BeTrue())
	})
	It("treats an engine as loaded once it has reported all its services and none is withheld", func() {
		doc := &config.Document{
			Services: map[string]config.Service{"s": {Kind: config.ModelService, Model: "m"}},
			Targets:  map[string]config.Target{"e": {Services: []string{"s"}}},
		}
		t := &tables.Target{ID: "e", Services: map[tables.ServiceID]bool{"s": true}}
		d := &Dispatcher{loadedOrders: make(map[tables.TargetID]target.Order)}
		d.Document = func() *config.Document { return doc }
		Expect(d.allLoaded(t)).To(BeFalse(), "no state reported")
		d.loadedOrders["e"] = target.Order{Models: []string{"m"}}
		Expect(d.allLoaded(t)).To(BeTrue())
		delete(t.Services, "s")
		Expect(d.allLoaded(t)).To(BeFalse(), "the service is withheld")
		t.Services["s"] = true
		doc.Services["s"] = config.Service{Kind: config.ModelService, Model: "n"}
		Expect(d.allLoaded(t)).To(BeFalse(), "the configuration requires another model")
	})
})
