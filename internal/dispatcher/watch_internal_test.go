package dispatcher

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// reads counts what is due in a number of rounds.
func reads(w watched, rounds int, running, settled bool) (after watched, states, events int) {
	for range rounds {
		w = w.next(running, settled)
		if w.stateDue() {
			states++
		}
		if w.eventsDue() {
			events++
		}
	}
	return w, states, events
}

var _ = Describe("Reads of engines", func() {
	It("are as often as before while the engine works, and after that until late events are in", func() {
		w, _, events := reads(watched{}, 100, true, true)
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
	It("ask at every round for what an engine holds that lacks a service", func() {
		w, states, _ := reads(watched{}, 100, true, false)
		Expect(states).To(Equal(100))
		w, states, _ = reads(w, 100, true, true)
		Expect(states).To(Equal(100 / slowRounds))
		Expect(w.next(true, false).stateDue()).To(BeTrue())
	})
	It("take an engine for settled that has stated and offers all its services", func() {
		doc := &config.Document{
			Services: map[string]config.Service{"s": {Kind: config.ModelService, Model: "m"}},
			Targets:  map[string]config.Target{"e": {Services: []string{"s"}}},
		}
		row := &tables.Target{ID: "e", Services: map[tables.ServiceID]bool{"s": true}}
		d := &Dispatcher{held: make(map[tables.TargetID]target.Order)}
		d.Document = func() *config.Document { return doc }
		Expect(d.settled(row)).To(BeFalse(), "it has stated nothing")
		d.held["e"] = target.Order{Models: []string{"m"}}
		Expect(d.settled(row)).To(BeTrue())
		delete(row.Services, "s")
		Expect(d.settled(row)).To(BeFalse(), "the service is withheld")
		row.Services["s"] = true
		doc.Services["s"] = config.Service{Kind: config.ModelService, Model: "n"}
		Expect(d.settled(row)).To(BeFalse(), "the configuration asks for another model")
	})
})
