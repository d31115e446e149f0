package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
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
	// blindTime is the shortest time between the first and the last crash of a cause if
	// nothing tells whether other requests would have survived.
	blindTime = time.Second
	// sameCrash is the longest time between two losses of one crash.
	sameCrash = 500 * time.Millisecond
	// afterCrash is how long further losses at a start of a target are ignored: it may
	// still accept connections, or may have started again without that being known.
	afterCrash = 10 * time.Second
	// sameInstant is the time within which several targets that crash may have done so for
	// another reason: a failure domain or a network may have failed.
	sameInstant = 50 * time.Millisecond
	// lossWindow is the time before and after a crash in which other losses count for the
	// chance of a loss, and survivalWindow the time after it in which survivals do.
	lossWindow, survivalWindow = time.Second, 2 * time.Second
	// survivalStep is the time within which survivals are counted together.
	survivalStep = 20 * time.Millisecond
	// survivalLifetime is how long they are kept.
	survivalLifetime = 2 * time.Minute
	// suspectTime is how long after a crash its traits are among the suspects.
	suspectTime = 10 * time.Second
	// crashLifetime is how long a crash counts.
	crashLifetime = 10 * time.Minute
	// maxCrashes bounds the number of crashes that are kept, maxLosses that of the losses
	// of one crash, and maxSuspects that of Suspects.
	maxCrashes, maxLosses, maxSuspects = 256, 64, 64
)

// Detector finds causes. A trait of the requests lost in several crashes is suspect until
// a request that holds it survives, that is, gets past the beginning of its answer. It is
// a cause once chance does not explain that all requests with it were lost. It is not
// safe for concurrent use.
type Detector struct {
	causes *Causes
	// crashes are in order of time.
	crashes []*crash
	// survivedAt is when a request with a trait last survived.
	survivedAt map[Trait]time.Time
	// survivals counts the requests that survived of late, in order of time.
	survivals []survivalCount
	// relevant are the traits of the crashes; nil if they must be collected again.
	relevant map[Trait]bool
}

// survivalCount is a number of requests that survived at about a time.
type survivalCount struct {
	at time.Time
	n  int
}

// crash is the end of one start of a target.
type crash struct {
	target      tables.TargetID
	targetStart int64
	at          time.Time
	losses      []Loss
}

// NewDetector returns a detector that adds what it finds to causes.
func NewDetector(causes *Causes) *Detector {
	return &Detector{causes: causes, survivedAt: make(map[Trait]time.Time)}
}

// RecordLoss records a loss. It returns false if it is not needed.
func (d *Detector) RecordLoss(at time.Time, l Loss) bool {
	if len(l.Traits) == 0 || l.Target == "" {
		return false
	}
	d.relevant = nil
	c := d.crashOf(l)
	switch {
	case c == nil:
		d.insert(at, l)
	case at.Sub(c.at) < sameCrash:
		return c.add(l)
	case at.Sub(c.at) < afterCrash:
		return false
	default:
		d.crashes = slices.DeleteFunc(d.crashes, func(other *crash) bool { return other == c })
		d.insert(at, l)
	}
	return true
}

func (d *Detector) crashOf(l Loss) *crash {
	for _, c := range d.crashes {
		if c.target == l.Target && c.targetStart == l.TargetStart {
			return c
		}
	}
	return nil
}

func (d *Detector) insert(at time.Time, l Loss) {
	d.crashes = append(d.crashes, &crash{target: l.Target, targetStart: l.TargetStart, at: at, losses: []Loss{l}})
	slices.SortStableFunc(d.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	d.crashes = d.crashes[max(len(d.crashes)-maxCrashes, 0):]
}

// add adds a loss and returns false if it is not needed.
func (c *crash) add(l Loss) bool {
	if len(c.losses) >= maxLosses || slices.ContainsFunc(c.losses, func(known Loss) bool { return known.Request == l.Request }) {
		return false
	}
	c.losses = append(c.losses, l)
	return true
}

// RecordSurvival records that a request that holds the traits survived at a time.
func (d *Detector) RecordSurvival(at time.Time, traits ...Trait) {
	for _, t := range traits {
		if at.After(d.survivedAt[t]) && d.isRelevant(t) {
			d.survivedAt[t] = at
		}
	}
}

// CountSurvivals records that n requests survived shortly before a time.
func (d *Detector) CountSurvivals(at time.Time, n int) {
	last := len(d.survivals) - 1
	switch {
	case n <= 0:
	case last >= 0 && at.Sub(d.survivals[last].at) < survivalStep:
		d.survivals[last].n += n
	default:
		d.survivals = append(d.survivals, survivalCount{at, n})
	}
	for len(d.survivals) > 0 && at.Sub(d.survivals[0].at) > survivalLifetime {
		d.survivals = d.survivals[1:]
	}
}

// isRelevant reports whether a trait is one of a crash or of a cause.
func (d *Detector) isRelevant(t Trait) bool {
	for _, k := range d.causes.known {
		if slices.Contains(k.cause, t) {
			return true
		}
	}
	if d.relevant == nil {
		d.relevant = make(map[Trait]bool)
		for _, c := range d.crashes {
			for _, l := range c.losses {
				for _, held := range l.Traits {
					d.relevant[held] = true
				}
			}
		}
	}
	return d.relevant[t]
}

// explainedBy reports whether a lost request holds a cause.
func (c *crash) explainedBy(cause Cause) bool {
	return slices.ContainsFunc(c.losses, func(l Loss) bool { return cause.Matches(l.Traits) })
}

// counts reports whether a crash counts against a trait: no request with the trait has
// survived since.
func (d *Detector) counts(c *crash, t Trait) bool { return d.survivedAt[t].Before(c.at) }

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

// Decide returns the causes that have been found by now and adds them to those known.
func (d *Detector) Decide(now time.Time) []Cause {
	d.expire(now)
	var found []Cause
	for _, c := range d.narrowed() {
		if d.causes.Add(now, c) {
			found = append(found, c)
		}
	}
	for {
		next, ok := d.next(now)
		if !ok {
			return found
		}
		d.causes.Add(now, next)
		found = append(found, next)
	}
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

// isExplained reports whether a known cause explains a crash.
func (d *Detector) isExplained(c *crash) bool {
	for _, k := range d.causes.known {
		if c.explainedBy(k.cause) {
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

// CountTrait among the suspects tells that the number of survivals matters.
const CountTrait Trait = "count"

// Suspects returns the traits whose survivals matter now: those of recent crashes that no
// cause explains, and those of causes of several traits. Hosts remember the last survival
// with each trait, so one that survived meanwhile is cleared at its next crash.
func (d *Detector) Suspects(now time.Time) []Trait {
	d.expire(now)
	set := make(map[Trait]bool)
	for _, k := range d.causes.known {
		if len(k.cause) > 1 {
			for _, t := range k.cause {
				set[t] = true
			}
		}
	}
	// The latest crashes come first if there are too many.
	for _, c := range slices.Backward(d.crashes) {
		if now.Sub(c.at) > suspectTime || len(set) >= maxSuspects || d.isExplained(c) {
			continue
		}
		set[CountTrait] = true
		for _, l := range c.losses {
			for _, t := range l.Traits {
				if d.counts(c, t) && !d.causes.implies(Cause{t}) {
					set[t] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Crashes returns the number of crashes that a cause explains.
func (d *Detector) Crashes(c Cause) int {
	n := 0
	for _, known := range d.crashes {
		if known.explainedBy(c) {
			n++
		}
	}
	return n
}

// maxLostListed bounds the number of requests that LostUnder returns.
const maxLostListed = 16

// LostUnder returns the latest lost requests that hold a cause, each with its target.
func (d *Detector) LostUnder(cause Cause) []string {
	var out []string
	for _, c := range d.crashes {
		for _, l := range c.losses {
			if cause.Matches(l.Traits) {
				out = append(out, l.Request+" at "+string(l.Target))
			}
		}
	}
	return out[max(len(out)-maxLostListed, 0):]
}

// expire forgets crashes after crashLifetime, and what matters no more.
func (d *Detector) expire(now time.Time) {
	before := len(d.crashes)
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) > crashLifetime })
	if len(d.crashes) == before {
		return
	}
	d.relevant = nil
	maps.DeleteFunc(d.survivedAt, func(t Trait, _ time.Time) bool { return !d.isRelevant(t) })
}
