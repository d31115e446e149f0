package rollout

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minCrashed is the least number of new targets that crashed of a bad version, and of their
	// separate crashes.
	minCrashed = 3
	// minCrashEvents is the number of separate crashes of minCrashed new targets, while no old
	// target crashed, of a bad version. Few targets are too few for maxCrashChance: three of
	// four that crash again and again are above it.
	minCrashEvents = 5
	// crashWindow is the time in which they crashed.
	crashWindow = 5 * time.Second
	// activeWindow is the time since the last grant or response of a target in use. A target
	// that is not in use does not show a crash.
	activeWindow = time.Second
	// maxCrashChance is the chance that the new targets crash as often as the old ones do,
	// below which the version is bad. Three of three while no old one crashed are below it.
	maxCrashChance = 0.005
	// commonCause is the time within which crashes count as one.
	commonCause = 250 * time.Millisecond
)

// activity is what is known of the use of a target.
type activity struct {
	grantedAt, answeredAt, crashedAt time.Time
	// grants is the number of requests that a new target was granted.
	grants int
}

// crash is a lost connection to a new target.
type crash struct {
	at     time.Time
	target tables.TargetID
}

func (c *Controller) activity(id tables.TargetID) *activity {
	a := c.activities[id]
	if a == nil {
		a = &activity{}
		c.activities[id] = a
	}
	return a
}

func (a *activity) activeSince(t time.Time) bool {
	return a.grantedAt.After(t) || a.answeredAt.After(t)
}

// RecordLoss records that the connection of a request to a target broke.
func (c *Controller) RecordLoss(now time.Time, target tables.TargetID) {
	if c.phase.Ended() {
		return
	}
	c.activity(target).crashedAt = now
	if c.targets.versions[target] == c.order.To {
		c.crashTimes = append(c.crashTimes, crash{now, target})
	}
}

// separateCrashes returns how many new targets crashed in the last crashWindow, and how often new
// targets did apart from each other. Crashes within commonCause of the first of them may have a
// cause outside the targets, and count as one.
func (c *Controller) separateCrashes(now time.Time) (targets, events int) {
	for len(c.crashTimes) > 0 && now.Sub(c.crashTimes[0].at) > crashWindow {
		c.crashTimes = c.crashTimes[1:]
	}
	crashed := make(map[tables.TargetID]bool)
	var begun time.Time
	for _, k := range c.crashTimes {
		crashed[k.target] = true
		if k.at.Sub(begun) > commonCause {
			begun = k.at
			events++
		}
	}
	return len(crashed), events
}

// crashes returns how many targets of the new version and of the old ones crashed, and how
// many were in use.
func (c *Controller) crashes(now time.Time) (newCrashed, newActive, oldCrashed, oldActive int) {
	for id, version := range c.targets.versions {
		a := c.activities[id]
		if a == nil || c.excluded[version] {
			continue
		}
		crashed := a.crashedAt.After(now.Add(-crashWindow))
		active := crashed || a.activeSince(now.Add(-activeWindow))
		if version == c.order.To {
			newCrashed += count(crashed)
			newActive += count(active)
		} else {
			oldCrashed += count(crashed)
			oldActive += count(active)
		}
	}
	return newCrashed, newActive, oldCrashed, oldActive
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// crashing reports whether the new targets crash more often than the old ones.
func (c *Controller) crashing(now time.Time) bool {
	newCrashed, newActive, oldCrashed, oldActive := c.crashes(now)
	targets, events := c.separateCrashes(now)
	if newCrashed < minCrashed || targets < minCrashed || events < minCrashed {
		return false
	}
	if oldCrashed == 0 && events >= minCrashEvents {
		return true
	}
	usual := (float64(oldCrashed) + 1) / (float64(oldActive) + 2)
	return binomialTail(newActive, newCrashed, usual) < maxCrashChance
}

// binomialTail returns the chance of at least k successes in n trials.
func binomialTail(n, k int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		all, _ := math.Lgamma(float64(n + 1))
		chosen, _ := math.Lgamma(float64(i + 1))
		others, _ := math.Lgamma(float64(n - i + 1))
		sum += math.Exp(all - chosen - others + float64(i)*math.Log(p) + float64(n-i)*math.Log(1-p))
	}
	return sum
}
