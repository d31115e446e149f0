package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the smallest number of crashes after which a cause is found.
	minCrashes = 3
	// manyCrashes is the number of crashes from which on maxChanceOfMany applies. It is
	// also the smallest number for a trait with which requests have survived before.
	manyCrashes = 5
	// maxChance and maxChanceOfMany bound the chance that a sound request would have been
	// lost in all crashes that count against a trait.
	maxChance, maxChanceOfMany = 1e-6, 1e-3
	// settleTime is how long after manyCrashes a trait with which requests have survived
	// before is no cause yet.
	settleTime = 2 * time.Second
	// wideningLimit is the number of crashes that a cause with more traits must leave
	// unexplained for one with fewer traits.
	wideningLimit = 2
)

// evidence is what is known against a trait.
type evidence struct {
	trait Trait
	// crashes are those that count against it.
	crashes []*crash
	// cause is what all lost requests with the trait have in common.
	cause Cause
}

// gather returns the evidence against each trait with at least a number of crashes.
func (d *Detector) gather(atLeast int) map[Trait]*evidence {
	out := make(map[Trait]*evidence)
	for _, c := range d.crashes {
		for _, l := range c.losses {
			for _, t := range l.Traits {
				if !d.counts(c, t) {
					continue
				}
				e := out[t]
				if e == nil {
					e = &evidence{trait: t}
					out[t] = e
				}
				if n := len(e.crashes); n == 0 || e.crashes[n-1] != c {
					e.crashes = append(e.crashes, c)
				}
			}
		}
	}
	maps.DeleteFunc(out, func(_ Trait, e *evidence) bool { return len(e.crashes) < atLeast })
	return out
}

// setCause sets the cause of the evidence. Traits with which requests have survived before
// the crashes are left out unless there are no others.
func (d *Detector) setCause(e *evidence) {
	e.cause = nil
	for _, c := range e.crashes {
		for _, l := range c.losses {
			if !slices.Contains(l.Traits, e.trait) {
				continue
			}
			if e.cause == nil {
				e.cause = NewCause(l.Traits...)
			}
			e.cause = e.cause.without(func(other Trait) bool { return !slices.Contains(l.Traits, other) || !d.counts(c, other) })
		}
	}
	if unknown := e.cause.without(d.hasSurvived); len(unknown) > 0 {
		e.cause = unknown
	}
}

// hasSurvived reports whether a request with a trait is known to have survived.
func (d *Detector) hasSurvived(t Trait) bool { return !d.survivedAt[t].IsZero() }

// Decide returns the causes that have been found by now and adds them to those known. Those of parts
// come first: they may explain the losses of a content.
func (d *Detector) Decide(now time.Time) []Cause {
	d.expire(now)
	found := d.add(now, d.narrowed())
	for {
		next, ok := d.next(now)
		if !ok {
			return append(found, d.add(now, d.repeatedCauses(now))...)
		}
		d.causes.find(now, next)
		found = append(found, next)
	}
}

// add adds causes to those known and returns those that are new.
func (d *Detector) add(now time.Time, causes []Cause) []Cause {
	var found []Cause
	for _, c := range causes {
		if d.causes.find(now, c) {
			found = append(found, c)
		}
	}
	return found
}

// next returns the next cause that has been found: the one that explains the most
// crashes. One with more traits, which refuses fewer requests, comes before it unless it
// leaves wideningLimit of these crashes unexplained.
func (d *Detector) next(now time.Time) (Cause, bool) {
	var found []*evidence
	for _, e := range d.gather(minCrashes) {
		d.setCause(e)
		if !d.causes.implies(e.cause) && d.suffices(now, e) {
			found = append(found, e)
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(found), func(e *evidence) bool { return hasNarrower(e, found) })
	if len(candidates) == 0 {
		return nil, false
	}
	best := slices.MinFunc(candidates, func(a, b *evidence) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(len(b.cause), len(a.cause)), cmp.Compare(a.trait, b.trait))
	})
	return best.cause, true
}

// hasNarrower reports whether a cause with more traits explains nearly the same crashes.
func hasNarrower(e *evidence, all []*evidence) bool {
	return slices.ContainsFunc(all, func(other *evidence) bool {
		if len(other.cause) <= len(e.cause) || !e.cause.Matches(other.cause) {
			return false
		}
		left := slices.DeleteFunc(slices.Clone(e.crashes), func(c *crash) bool { return c.explainedBy(other.cause) })
		return len(left) < wideningLimit
	})
}

// suffices reports whether the evidence suffices for a cause. Of a trait with which
// requests have survived before, only crashes that no known cause explains count, and
// those must leave time for another survival.
func (d *Detector) suffices(now time.Time, e *evidence) bool {
	unexplained := slices.DeleteFunc(slices.Clone(e.crashes), d.isExplained)
	if len(unexplained) < wideningLimit {
		return false
	}
	if d.hasSurvived(e.trait) {
		separate := instants(unexplained)
		settled := len(separate) >= manyCrashes && now.Sub(separate[manyCrashes-1][0].at) >= settleTime
		return settled && d.isUnlikely(unexplained, e.trait, manyCrashes, maxChance)
	}
	return d.isUnlikely(e.crashes, e.trait, minCrashes, maxChance) || d.isUnlikely(e.crashes, e.trait, manyCrashes, maxChanceOfMany)
}

// isExplained reports whether a known cause explains a crash. One that holds a content is
// too narrow for that: the request may share its cause with others.
func (d *Detector) isExplained(c *crash) bool {
	for _, k := range d.causes.known {
		if !k.cause.hasContent() && c.explainedBy(k.cause) {
			return true
		}
	}
	return false
}

// narrowed returns the causes of several traits without those traits with which requests
// have survived since the causes were found.
func (d *Detector) narrowed() []Cause {
	var out []Cause
	for _, k := range d.causes.known {
		rest := k.cause.without(func(t Trait) bool { return d.survivedAt[t].After(k.foundAt) })
		if len(rest) > 0 && len(rest) < len(k.cause) {
			out = append(out, rest)
		}
	}
	return out
}
