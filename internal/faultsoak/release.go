package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// releaseShare is the share of the faults with which a release begins.
const releaseShare = 0.25

// versionName returns the name of a software version; versions are counted from 0 and
// begin again at the number of versions.
func versionName(version, versions int) string {
	return fmt.Sprintf("v%d", version%max(versions, 1)+1)
}

// newTarget puts a proxy in front of a target and gives the target a software version.
func newTarget(t *standin.Target, version, versions int) (*target, error) {
	t.SetVersion(versionName(version, versions))
	address, _ := t.Entry("ready")["address"].(string)
	p, err := newProxy(address)
	return &target{Target: t, proxy: p, version: version}, err
}

// releaseTarget makes a model target leave. At the end of the fault a new target of the
// next software version takes its place; the old one still finishes its requests.
func releaseTarget(i *injector) (heal func(), affected string) {
	c, place := i.cluster, i.releaseRNG.IntN(modelTargets)
	old := c.target(place)
	old.SetLeaving(true)
	c.store.PutTarget(old.ID, old.entry("draining"))
	return func() {
		id := fmt.Sprintf("m-%d-%d", place, i.releases.Add(1))
		t, err := newTarget(standin.NewTarget(id, old.Service, old.Zone, old.Events, old.EventGap), old.version+1, i.versions)
		if err != nil {
			i.log("starting a target failed: " + err.Error())
			return
		}
		if c.streamEnds {
			if err := t.addStreamEnds(old.unframed); err != nil {
				i.log("starting the process of a target failed: " + err.Error())
				return
			}
		}
		if c.crashPart {
			c.crashOnPart(t)
		}
		t.register(c.store)
		c.store.DeleteTarget(old.ID)
		if previous := c.replace(place, t); previous != old {
			c.store.DeleteTarget(previous.ID)
		}
	}, old.ID
}

// target returns the target that has a place.
func (c *cluster) target(place int) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[place]
}

// replace gives a place to a target and returns the one that had it.
func (c *cluster) replace(place int, t *target) (previous *target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.targets[place]
	c.replaced = append(c.replaced, previous)
	c.targets[place] = t
	return previous
}

// hasPlace reports whether a target has a place.
func (c *cluster) hasPlace(t *target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.targets, t)
}

// drawTarget draws one of the targets that have a place.
func (c *cluster) drawTarget(rng *rand.Rand) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[rng.IntN(len(c.targets))]
}

// allTargets returns the targets that have or had a place.
func (c *cluster) allTargets() []*target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.targets, c.replaced)
}

// runs returns the runs of all targets.
func (c *cluster) runs() []standin.Run {
	var out []standin.Run
	for _, t := range c.allTargets() {
		out = append(out, t.Runs()...)
	}
	if c.rollout != nil {
		for _, t := range c.rollout.New {
			out = append(out, t.Runs()...)
		}
	}
	return out
}

// registerTargets writes the records of the targets that have a place and removes those
// of the others.
func (c *cluster) registerTargets() {
	c.mu.Lock()
	current, replaced := slices.Clone(c.targets), slices.Clone(c.replaced)
	c.mu.Unlock()
	for _, t := range replaced {
		c.store.DeleteTarget(t.ID)
	}
	for _, t := range current {
		t.register(c.store)
	}
}
