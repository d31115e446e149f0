package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// restoredTarget stands for the targets of the evidence that a record holds.
const restoredTarget = tables.TargetID("")

// summary counts the judged responses since the order.
func (e *evidence) summary() []RouteEvidence {
	byStratum := make(map[stratum]RouteEvidence)
	for s, n := range e.old {
		byStratum[s] = RouteEvidence{Route: s.route, Kind: s.kind, Old: n}
	}
	add := func(s stratum, n Counts) {
		r := byStratum[s]
		r.Route, r.Kind = s.route, s.kind
		r.New.Answers += n.Answers
		r.New.Bad += n.Bad
		byStratum[s] = r
	}
	for s, targets := range e.scores {
		for _, n := range targets {
			add(s, n.Counts)
		}
	}
	for _, b := range e.buckets {
		for s, c := range b.cells {
			for _, n := range c.new {
				add(s, *n)
			}
		}
	}
	return slices.SortedFunc(maps.Values(byStratum), func(a, b RouteEvidence) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Kind, b.Kind))
	})
}

// restoreEvidence begins with the evidence of a record if that is more than what this
// coordinator has.
func (c *Controller) restoreEvidence(r Record) {
	answers := 0
	for _, n := range r.Evidence {
		if n.Kind == Failure {
			answers += n.New.Answers
		}
	}
	if answers <= c.evidence.newTotal.Answers {
		return
	}
	e := newEvidence()
	for _, n := range r.Evidence {
		s := stratum{n.Route, n.Kind}
		e.old[s] = n.Old
		if n.New.Answers > 0 {
			e.scores.add(s, &cell{new: map[tables.TargetID]*Counts{restoredTarget: &n.New}}, n.Old)
		}
		e.oldTotal.Bad += n.Old.Bad
		e.newTotal.Bad += n.New.Bad
		if n.Kind == Failure {
			e.warm[n.Route] = n.New.Answers
			e.oldTotal.Answers += n.Old.Answers
			e.newTotal.Answers += n.New.Answers
		}
	}
	c.evidence = e
}
