package dispatcher

import (
	"errors"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// applyEngineState records which models and adapters an engine has loaded. A
// state reported while the engine loads is ignored, because the engine still
// serves what it had loaded before. An engine that has not received an order does
// not report what it has loaded.
func (d *Dispatcher) applyEngineState(id tables.TargetID, state target.OrderState) {
	t, doc := d.state.Targets.Get(id), d.Document()
	if t == nil || doc == nil || state.Loading {
		return
	}
	delete(d.loadedOrders, id)
	if state.Order.Role != "" {
		d.loadedOrders[id] = state.Order
	}
	cfg := doc.Targets[string(id)]
	if !slices.Equal(d.unloaded(id, doc, cfg), withheldServices(t, cfg)) {
		d.updateServices(t, doc, cfg)
		d.returnUnservable()
	}
}

// updateServices sets the services of a target to the configured ones that the
// target can serve now.
func (d *Dispatcher) updateServices(t *tables.Target, doc *config.Document, cfg config.Target) {
	t.Services = make(map[tables.ServiceID]bool, len(cfg.Services))
	for _, s := range cfg.Services {
		t.Services[tables.ServiceID(s)] = true
	}
	for _, s := range d.unloaded(t.ID, doc, cfg) {
		delete(t.Services, s)
	}
	d.state.Targets.Put(t)
}

// unloaded returns the configured services of a target whose model or adapter is
// not loaded according to the target's last report, in the order of the
// configuration.
func (d *Dispatcher) unloaded(id tables.TargetID, doc *config.Document, cfg config.Target) []tables.ServiceID {
	order, reported := d.loadedOrders[id]
	if !reported {
		return nil
	}
	var unloaded []tables.ServiceID
	for _, name := range cfg.Services {
		s := doc.Services[name]
		adapterLoaded := s.Adapter == "" || slices.Contains(order.Adapters, s.Adapter)
		if !slices.Contains(order.Models, s.Model) || !adapterLoaded {
			unloaded = append(unloaded, tables.ServiceID(name))
		}
	}
	return unloaded
}

// withheldServices returns the configured services that are currently withheld
// from a target.
func withheldServices(t *tables.Target, cfg config.Target) []tables.ServiceID {
	var withheld []tables.ServiceID
	for _, s := range cfg.Services {
		if id := tables.ServiceID(s); !t.Services[id] {
			withheld = append(withheld, id)
		}
	}
	return withheld
}

// withhold removes a service from a target that refused a request because the
// model is not loaded. The service stays removed until the next update of the
// target's services.
func (d *Dispatcher) withhold(j *job, cause error) {
	t := d.state.Targets.Get(j.target)
	if t == nil || j.request == nil || !errors.Is(cause, target.ErrModelNotLoaded) {
		return
	}
	delete(t.Services, j.request.Service)
	d.state.Targets.Put(t)
}

// addUnloaded adds to each summary the services that are currently withheld from
// its target.
func (d *Dispatcher) addUnloaded(summaries []tables.TargetSummary) []tables.TargetSummary {
	doc := d.Document()
	if doc == nil {
		return summaries
	}
	for i := range summaries {
		s := &summaries[i]
		if t := d.state.Targets.Get(s.Target); t != nil {
			s.Unloaded = withheldServices(t, doc.Targets[string(s.Target)])
		}
	}
	return summaries
}
