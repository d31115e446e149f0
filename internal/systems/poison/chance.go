package poison

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// blindTime is the shortest time between the first and the last crash of a cause if
	// nothing tells whether other requests would have survived.
	blindTime = time.Second
	// sameInstant is the time within which several targets that crash may have done so for
	// another reason: a failure domain or a network may have failed.
	sameInstant = 50 * time.Millisecond
	// lossWindow is the time before and after a crash in which other losses count for the
	// chance of a loss, and survivalWindow the time after it in which survivals do.
	lossWindow, survivalWindow = time.Second, 2 * time.Second
)

// isUnlikely reports whether there are at least a number of independent crashes, and the
// chance that all requests with a trait were lost in them, although the trait is not a
// cause, is at most maxChance.
func (d *Detector) isUnlikely(crashes []*crash, t Trait, atLeast int, maxChance float64) bool {
	independent, chance, others := 0, 1.0, 0.0
	for _, group := range instants(crashes) {
		n := mostOfOneRequest(group, t)
		b := d.background(group, t)
		chance *= math.Pow(anyOf(lostAt(group[0], t), share(b.lostAlike, b.lost+b.survived)), float64(n))
		// If the targets of a group crashed for one other reason, how far the answers of the
		// requests lost there had come is still independent.
		for _, c := range group[min(n, len(group)):] {
			if c.holdsBegun(t) {
				chance *= anyOf(lostAt(c, t), share(b.lostAlike, b.lost))
				n++
			}
		}
		independent += n
		others += b.lost + b.survived
	}
	if independent < atLeast {
		return false
	}
	if others == 0 {
		return independent > minCrashes && d.isDistinct(t, crashes[0].service) && crashes[len(crashes)-1].at.Sub(crashes[0].at) >= blindTime
	}
	return chance <= maxChance
}

// isDistinct reports whether a trait may be told from what all requests of a service hold: no request
// with it is known to have survived, or others were lost, or survived after the last one with it. Under
// what all requests hold, targets that fail for another reason lose all of them, too.
func (d *Detector) isDistinct(t Trait, service tables.ServiceID) bool {
	if !d.hasSurvived(t) || slices.ContainsFunc(d.crashes, func(c *crash) bool { return c.service == service && lostAt(c, t) < len(c.losses) }) {
		return true
	}
	survivals := d.survivals[service]
	return len(survivals) > 0 && survivals[len(survivals)-1].at.After(d.survivedAt[t])
}

// anyOf returns the chance that an event of chance p happens in any of n cases.
func anyOf(n int, p float64) float64 { return 1 - math.Pow(1-p, float64(n)) }

// lostAt returns how many requests with a trait were lost in a crash.
func lostAt(c *crash, t Trait) int {
	n := 0
	for _, l := range c.losses {
		if slices.Contains(l.Traits, t) {
			n++
		}
	}
	return n
}

// share estimates a share from a count of events, of all.
func share(count, all float64) float64 { return (count + 0.5) / (all + 0.5) }

// begunTargets returns at how many targets of a group a request with the trait was lost
// while its answer had begun.
func begunTargets(group []*crash, t Trait) int {
	n := 0
	for _, c := range group {
		if c.holdsBegun(t) {
			n++
		}
	}
	return n
}

// instants groups crashes that are less than sameInstant apart.
func instants(crashes []*crash) [][]*crash {
	var out [][]*crash
	for _, c := range crashes {
		if n := len(out); n > 0 && c.at.Sub(out[n-1][0].at) < sameInstant {
			out[n-1] = append(out[n-1], c)
			continue
		}
		out = append(out, []*crash{c})
	}
	return out
}

// mostOfOneRequest returns how many crashes of a group a single request with the trait was
// lost in. It was at one target after the other, so these crashes are independent.
func mostOfOneRequest(group []*crash, t Trait) int {
	byRequest := make(map[string]int)
	most := 0
	for _, c := range group {
		for _, l := range c.losses {
			if slices.Contains(l.Traits, t) {
				byRequest[l.Request]++
				most = max(most, byRequest[l.Request])
			}
		}
	}
	return most
}

// background is what happened around the time of a group of crashes to requests of the same
// service without a trait.
type background struct {
	// lost were lost then, and survived got past the beginning of their answer after it.
	lost, survived float64
	// lostAlike were lost as those with the trait. If the answer of one of these had begun,
	// only such losses count: few requests are at that point at any time.
	lostAlike float64
}

func (d *Detector) background(group []*crash, t Trait) background {
	var b background
	begun := begunTargets(group, t) > 0
	at, service := group[0].at, group[0].service
	for _, c := range d.crashes {
		if c.service != service || c.at.Sub(at).Abs() > lossWindow {
			continue
		}
		for _, l := range c.losses {
			if _, explained := d.causes.Match(l.Traits); explained || slices.Contains(l.Traits, t) {
				continue
			}
			b.lost++
			if l.Begun || !begun {
				b.lostAlike++
			}
		}
	}
	survivals := d.survivals[service]
	first, _ := slices.BinarySearchFunc(survivals, at, func(s survivalCount, at time.Time) int { return s.at.Compare(at) })
	for _, s := range survivals[first:] {
		if s.at.Sub(at) > survivalWindow {
			break
		}
		b.survived += float64(s.n)
	}
	return b
}

func (c *crash) holdsBegun(t Trait) bool {
	return slices.ContainsFunc(c.losses, func(l Loss) bool { return l.Begun && slices.Contains(l.Traits, t) })
}
