package dispatcher

import (
	"errors"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// takeState notes what an engine holds. While it loads, what it held before
// counts: the engine goes on serving that. An engine without any order tells
// nothing.
func (d *Dispatcher) takeState(id tables.TargetID, state target.OrderState) {
	row, doc := d.state.Targets.Get(id), d.Document()
	if row == nil || doc == nil || state.Loading {
		return
	}
	delete(d.held, id)
	if state.Order.Role != "" {
		d.held[id] = state.Order
	}
	t := doc.Targets[string(id)]
	if !slices.Equal(d.unloaded(id, doc, t), missing(row, t)) {
		d.offer(row, doc, t)
		d.returnUnservable()
	}
}

// offer sets the services of a target to those that it can serve now.
func (d *Dispatcher) offer(row *tables.Target, doc *config.Document, t config.Target) {
	row.Services = make(map[tables.ServiceID]bool, len(t.Services))
	for _, s := range t.Services {
		row.Services[tables.ServiceID(s)] = true
	}
	for _, s := range d.unloaded(row.ID, doc, t) {
		delete(row.Services, s)
	}
	d.state.Targets.Put(row)
}

// unloaded returns the services of a target whose model or adapter it does not
// hold, by its last word, in the order of the configuration.
func (d *Dispatcher) unloaded(id tables.TargetID, doc *config.Document, t config.Target) []tables.ServiceID {
	order, known := d.held[id]
	if !known {
		return nil
	}
	var out []tables.ServiceID
	for _, name := range t.Services {
		s := doc.Services[name]
		adapted := s.Adapter == "" || slices.Contains(order.Adapters, s.Adapter)
		if !slices.Contains(order.Models, s.Model) || !adapted {
			out = append(out, tables.ServiceID(name))
		}
	}
	return out
}

// missing returns the configured services that a target does not offer now.
func missing(row *tables.Target, t config.Target) []tables.ServiceID {
	var out []tables.ServiceID
	for _, s := range t.Services {
		if id := tables.ServiceID(s); !row.Services[id] {
			out = append(out, id)
		}
	}
	return out
}

// withhold keeps a service off a target that said that it lacks the model,
// until the target states what it holds.
func (d *Dispatcher) withhold(j *job, cause error) {
	row := d.state.Targets.Get(j.target)
	if row == nil || j.row == nil || !errors.Is(cause, target.ErrModelNotLoaded) {
		return
	}
	delete(row.Services, j.row.Service)
	d.state.Targets.Put(row)
}

// nameUnloaded adds to summaries the services that targets do not offer now.
func (d *Dispatcher) nameUnloaded(summaries []tables.TargetSummary) []tables.TargetSummary {
	doc := d.Document()
	if doc == nil {
		return summaries
	}
	for i := range summaries {
		s := &summaries[i]
		if row := d.state.Targets.Get(s.Target); row != nil {
			s.Unloaded = missing(row, doc.Targets[string(s.Target)])
		}
	}
	return summaries
}
