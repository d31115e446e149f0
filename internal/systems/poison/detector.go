package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// sameCrash is the longest time between two losses of one crash.
	sameCrash = 500 * time.Millisecond
	// afterCrash is how long further losses at a start of a target are ignored: it may
	// still accept connections, or may have started again without that being known.
	afterCrash = 10 * time.Second
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
	// maxRecent bounds the number of losses whose traits are kept to explain others.
	maxRecent = 1024
)

// Detector finds causes. A trait of the requests lost in several crashes is suspect until
// a request that holds it survives, that is, gets past the beginning of its answer. It is
// a cause once chance does not explain that all requests with it were lost. It is not
// safe for concurrent use.
type Detector struct {
	causes *Causes
	// crashes are in order of time.
	crashes []*crash
	// repeats are the losses of each content.
	repeats repeats
	// recent are the latest losses of all requests, in the order in which they were reported.
	recent []TimedLoss
	// survivedAt is when a request with a trait last survived.
	survivedAt map[Trait]time.Time
	// survivals counts the requests of each service that survived of late, in order of time.
	survivals map[tables.ServiceID][]survivalCount
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
	service     tables.ServiceID
	at          time.Time
	losses      []Loss
}

// NewDetector returns a detector that adds what it finds to causes.
func NewDetector(causes *Causes) *Detector {
	return &Detector{causes: causes, repeats: make(repeats), survivedAt: make(map[Trait]time.Time), survivals: make(map[tables.ServiceID][]survivalCount)}
}

// RecordLoss records a loss. It returns false if it is not needed.
func (d *Detector) RecordLoss(at time.Time, l Loss) bool {
	if len(l.Traits) == 0 || l.Target == "" {
		return false
	}
	d.relevant = nil
	d.recent = append(d.recent, TimedLoss{l, at})
	d.recent = d.recent[max(len(d.recent)-maxRecent, 0):]
	repeated := d.repeats.record(at, l)
	c := d.crashOf(l)
	switch {
	case c == nil:
		d.insert(at, l)
	case at.Sub(c.at) < sameCrash:
		return c.add(l) || repeated
	case at.Sub(c.at) < afterCrash:
		return repeated
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
	d.crashes = append(d.crashes, &crash{target: l.Target, targetStart: l.TargetStart, service: l.Service, at: at, losses: []Loss{l}})
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

// CountSurvivals records that n requests of a service survived shortly before a time.
func (d *Detector) CountSurvivals(at time.Time, service tables.ServiceID, n int) {
	counts := d.survivals[service]
	last := len(counts) - 1
	switch {
	case n <= 0:
		return
	case last >= 0 && at.Sub(counts[last].at) < survivalStep:
		counts[last].n += n
	default:
		counts = append(counts, survivalCount{at, n})
	}
	for at.Sub(counts[0].at) > survivalLifetime {
		counts = counts[1:]
	}
	d.survivals[service] = counts
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
		for content := range d.repeats {
			d.relevant[content] = true
		}
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

// LastLoss returns when the last crash began; zero if none is known.
func (d *Detector) LastLoss() time.Time {
	if len(d.crashes) == 0 {
		return time.Time{}
	}
	return d.crashes[len(d.crashes)-1].at
}

// explainedBy reports whether a lost request holds a cause.
func (c *crash) explainedBy(cause Cause) bool {
	return slices.ContainsFunc(c.losses, func(l Loss) bool { return cause.Matches(l.Traits) })
}

// counts reports whether a crash counts against a trait: no request with the trait has
// survived since.
func (d *Detector) counts(c *crash, t Trait) bool { return d.survivedAt[t].Before(c.at) }

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
	d.suspectContents(now, set)
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
	d.repeats.expire(now.Add(-crashLifetime))
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) > crashLifetime })
	if len(d.crashes) == before {
		return
	}
	d.relevant = nil
	maps.DeleteFunc(d.survivedAt, func(t Trait, _ time.Time) bool { return !d.isRelevant(t) })
}
