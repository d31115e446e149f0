package place

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/pace"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Table holds the services with their targets and queues. One goroutine or
// lock owns it.
type Table struct {
	services map[tables.ServiceID]*service
	grants   map[ID]*grant
	// Random returns a number in [0, 1), for the spread of Retry-After.
	Random func() float64
}

// service is the queue and the targets of one service.
type service struct {
	shape   *pace.Shape
	gap     *pace.Gap
	targets map[tables.TargetID]*target
	queue   []*Ask
	line    line
}

// NewTable returns an empty table.
func NewTable(random func() float64) *Table {
	return &Table{
		services: make(map[tables.ServiceID]*service),
		grants:   make(map[ID]*grant),
		Random:   random,
	}
}

func (t *Table) service(id tables.ServiceID) *service {
	s := t.services[id]
	if s == nil {
		s = &service{shape: pace.NewShape(), gap: pace.NewGap(), targets: make(map[tables.TargetID]*target)}
		t.services[id] = s
	}
	return s
}

// SetTargets replaces the list of targets.
func (t *Table) SetTargets(targets []fleet.Target) {
	listed := make(map[tables.TargetID]bool, len(targets))
	for _, row := range targets {
		listed[row.ID] = true
		t.service(row.Service).set(row)
	}
	for _, s := range t.services {
		s.removeUnlisted(listed)
	}
}

func (s *service) set(row fleet.Target) {
	known := s.targets[row.ID]
	if known == nil {
		s.targets[row.ID] = newTarget(row)
		return
	}
	if !known.Born.Equal(row.Born) || known.Address != row.Address {
		// A copy that has started again under its ID keeps its speed only.
		known.breaks, known.failures, known.answers = 0, 0, 0
		known.ejectedUntil = time.Time{}
	}
	known.Target = row
	known.gone = false
}

func (s *service) removeUnlisted(listed map[tables.TargetID]bool) {
	for id, row := range s.targets {
		if listed[id] {
			continue
		}
		row.gone = true
		if row.open <= 0 {
			delete(s.targets, id)
		}
	}
}

// Learned is what a table has learned of targets, for the table of another
// home.
type Learned struct {
	Speeds   map[tables.TargetID]float64           `json:"speeds,omitempty"`
	Services map[tables.ServiceID]LearnedOfService `json:"services,omitempty"`
}

// LearnedOfService is what all targets of a service share.
type LearnedOfService struct {
	Weights pace.Weights  `json:"weights"`
	Gap     time.Duration `json:"gap"`
}

// Learned returns what is known of targets that have answered.
func (t *Table) Learned() Learned {
	out := Learned{Speeds: make(map[tables.TargetID]float64), Services: make(map[tables.ServiceID]LearnedOfService)}
	for name, s := range t.services {
		if weights, seen := s.shape.Weights(); seen {
			out.Services[name] = LearnedOfService{Weights: weights, Gap: s.gap.Mean()}
		}
		for id, row := range s.targets {
			if row.speed.Known() {
				out.Speeds[id] = row.speed.Value()
			}
		}
	}
	return out
}

// Adopt takes over what another table has learned, where this one knows
// nothing by itself.
func (t *Table) Adopt(l Learned) {
	for name, learned := range l.Services {
		s := t.service(name)
		s.shape.Adopt(learned.Weights)
		s.gap.Adopt(learned.Gap)
	}
	for _, s := range t.services {
		for id, row := range s.targets {
			if !row.speed.Known() {
				row.speed = pace.NewSpeed(l.Speeds[id])
			}
		}
	}
}

// Add queues an ask.
func (t *Table) Add(a *Ask) {
	s := t.service(a.Service)
	s.queue = append(s.queue, a)
}

// Cancel removes an ask that has no place yet and reports whether it was there.
func (t *Table) Cancel(service tables.ServiceID, id ID) bool {
	s := t.service(service)
	for i, a := range s.queue {
		if a.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// First notes that the first byte for a grant has come, and how long it took
// since the request was sent.
func (t *Table) First(now time.Time, id ID, took time.Duration) {
	g := t.grants[id]
	if g == nil {
		return
	}
	s := t.service(g.ask.Service)
	g.target.speed.Observe(took, g.unscaled)
	if g.alone && g.target.speed.Known() {
		s.shape.Observe(g.ask.Prompt, time.Duration(float64(took)/g.target.speed.Value()))
	}
	g.target.firstByte(now, g, s.shape)
}

// Paused notes the mean pause between the events of a stream that has ended.
func (t *Table) Paused(id ID, mean time.Duration) {
	g := t.grants[id]
	if g == nil || mean <= 0 {
		return
	}
	gap := t.service(g.ask.Service).gap
	if gap.Known() {
		g.target.speed.Observe(mean, gap.Mean())
	}
	gap.Observe(time.Duration(float64(mean) / g.target.speed.Value()))
}

// TargetOf returns the target of a grant, empty when there is none.
func (t *Table) TargetOf(id ID) tables.TargetID {
	if g := t.grants[id]; g != nil {
		return g.target.ID
	}
	return ""
}

// End frees the place of a grant.
func (t *Table) End(now time.Time, id ID, outcome Outcome) {
	g := t.grants[id]
	if g == nil {
		return
	}
	delete(t.grants, id)
	s := t.service(g.ask.Service)
	s.line.ended(now)
	s.line.finished(now.Sub(g.at))
	g.target.release(now, g, outcome, s.shape)
	if g.target.gone && g.target.open <= 0 {
		delete(s.targets, g.target.ID)
	}
}

// Held is a place that a host says it has in use.
type Held struct {
	Ask    *Ask
	Target tables.TargetID
}

// reconcileAfter is the age from which a grant that its host does not name is
// taken to have ended; before that, host and home may not have heard of each
// other's last step.
const reconcileAfter = time.Second

// Reconcile brings the grants of a host in line with the places that it has in
// use: those of another home are taken over, and those that have ended unheard
// are freed.
func (t *Table) Reconcile(now time.Time, host tables.HostID, held []Held) {
	named := make(map[ID]bool, len(held))
	for _, h := range held {
		named[h.Ask.ID] = true
		t.adopt(now, h)
	}
	for id, g := range t.grants {
		if g.ask.Host == host && !named[id] && now.Sub(g.at) > reconcileAfter {
			t.End(now, id, Left)
		}
	}
}

func (t *Table) adopt(now time.Time, h Held) {
	row := t.service(h.Ask.Service).targets[h.Target]
	if row == nil || t.grants[h.Ask.ID] != nil {
		return
	}
	row.open++
	t.grants[h.Ask.ID] = &grant{ask: h.Ask, target: row, at: now}
}

// Forget drops the asks of a host and frees its places.
func (t *Table) Forget(now time.Time, host tables.HostID) {
	for _, s := range t.services {
		kept := s.queue[:0]
		for _, a := range s.queue {
			if a.Host != host {
				kept = append(kept, a)
			}
		}
		s.queue = kept
	}
	for id, g := range t.grants {
		if g.ask.Host == host {
			t.End(now, id, Left)
		}
	}
}

// Waiting returns the number of asks without a place.
func (t *Table) Waiting() int {
	n := 0
	for _, s := range t.services {
		n += len(s.queue)
	}
	return n
}

// InUse returns the number of places in use.
func (t *Table) InUse() int { return len(t.grants) }
