package reach

import (
	"maps"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Report is what a host says of its own paths. Its length does not grow with the number of
// targets while a host has lost its paths to all of them.
type Report struct {
	// Lost lists the targets to which the path is lost.
	Lost []tables.TargetID `json:"l,omitempty"`
	// InDoubt lists the services of which the host reaches only the targets named.
	InDoubt map[tables.ServiceID][]tables.TargetID `json:"d,omitempty"`
}

// Empty reports whether the host reaches all targets.
func (r Report) Empty() bool { return len(r.Lost) == 0 && len(r.InDoubt) == 0 }

// Report returns what the host says of its paths.
func (p *Paths) Report() Report {
	var r Report
	for service, d := range p.doubts {
		if !d.active {
			continue
		}
		if r.InDoubt == nil {
			r.InDoubt = make(map[tables.ServiceID][]tables.TargetID)
		}
		sound := slices.DeleteFunc(slices.Collect(maps.Keys(d.soundAt)), func(id tables.TargetID) bool { return !d.sound(id) })
		r.InDoubt[service] = sound
	}
	for id, path := range p.lost {
		if _, inDoubt := r.InDoubt[path.target.Service]; !inDoubt {
			r.Lost = append(r.Lost, id)
		}
	}
	return r
}

// Version rises with each change of what Report returns.
func (p *Paths) Version() uint64 { return p.version }

// Reported is what a host has said of its paths, prepared for look-ups. The zero value
// reaches all targets.
type Reported struct {
	lost    map[tables.TargetID]bool
	inDoubt map[tables.ServiceID]map[tables.TargetID]bool
}

// NewReported returns what a report says.
func NewReported(r Report) *Reported {
	out := &Reported{lost: setOf(r.Lost), inDoubt: make(map[tables.ServiceID]map[tables.TargetID]bool, len(r.InDoubt))}
	for service, sound := range r.InDoubt {
		out.inDoubt[service] = setOf(sound)
	}
	return out
}

func setOf(ids []tables.TargetID) map[tables.TargetID]bool {
	out := make(map[tables.TargetID]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// Reaches reports whether the host has not said that its path to the target is lost. r may
// be nil.
func (r *Reported) Reaches(t fleet.Target) bool {
	if r == nil {
		return true
	}
	if sound, inDoubt := r.inDoubt[t.Service]; inDoubt {
		return sound[t.ID]
	}
	return !r.lost[t.ID]
}
