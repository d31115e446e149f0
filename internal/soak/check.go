package soak

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Promises that the soak checks beside those of harness.Audit.
const (
	PromiseEnds      = "everything comes to an end"
	PromiseVersions  = "versions never go down"
	PromiseTiers     = "no higher tier is shed while a lower one runs"
	PromiseLeaving   = "a leaving target gets no new work"
	PromiseStops     = "a planned stop cuts off no request"
	PromisePoison    = "a poison request crashes at most two engines"
	PromiseLookup    = "a lost answer can be looked up"
	leavingGrace     = 3 * time.Second
	maxPoisonCrashes = 2
	versionDeadline  = 5 * time.Second
)

// sampleVersions watches that no host's version goes down while it runs.
func (r *run) sampleVersions(ctx context.Context) {
	for wait(ctx, samplePeriod) {
		for _, host := range r.h.Hosts() {
			if host.Running(harness.PartGate) && host.Ready() {
				r.sampleVersion(string(host.ID), host.Version())
			}
		}
	}
}

// sampleVersion notes the version of a host; zero means that one of its
// processes has started again and serves nobody yet.
func (r *run) sampleVersion(host string, version uint64) {
	if version == 0 {
		return
	}
	r.mu.Lock()
	before := r.versions[host]
	r.versions[host] = max(before, version)
	r.mu.Unlock()
	if version < before {
		r.violate(PromiseVersions, "host %s went from version %d to %d", host, before, version)
	}
}

func (r *run) highestVersion() uint64 {
	highest := uint64(0)
	for _, host := range r.h.Hosts() {
		if host.Running(harness.PartGate) {
			highest = max(highest, host.Version())
		}
	}
	return highest
}

// checkStop checks the calls that were open when a graceful shutdown began.
// Their own caller may have left.
func (r *run) checkStop(host string, open []*harness.Call) {
	r.mu.Lock()
	r.plannedStops++
	r.mu.Unlock()
	for _, c := range open {
		select {
		case <-c.Done():
		case <-time.After(balancerWait):
			r.violate(PromiseStops, "%s is still open after the stop of %s", c.Request.Name, host)
			continue
		}
		result := c.Result()
		if result.Kind == harness.KindConnectionLost && !c.Left() {
			r.violate(PromiseStops, "%s was cut off by the stop of %s: %s", c.Request.Name, host, result.Detail)
		}
	}
}

// checkVersionsAgree checks that one version is in force everywhere.
func (r *run) checkVersionsAgree(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, versionDeadline)
	defer cancel()
	if err := r.h.AwaitVersion(ctx, r.highestVersion()); err != nil {
		r.violate(PromiseVersions, "%v", err)
	}
}

// lookUpLost asks for the outcome of every request whose connection broke
// after the caller had its ID.
func (r *run) lookUpLost(ctx context.Context) {
	runs := r.h.Runs()
	for _, c := range r.h.Calls() {
		result := c.Result()
		if result.Kind != harness.KindConnectionLost || result.ID == "" || c.Left() {
			continue
		}
		r.checkLookup(ctx, c, runs[result.ID])
	}
	r.checkVersionsAgree(ctx)
}

func (r *run) checkLookup(ctx context.Context, c *harness.Call, run harness.Run) {
	id := c.Result().ID
	r.mu.Lock()
	host := r.inService[r.random.IntN(len(r.inService))]
	r.mu.Unlock()
	status, err := r.h.Lookup(ctx, host, c.Request.CustomerKey, id)
	switch {
	case err != nil:
		r.violate(PromiseLookup, "%s (%s): %v", c.Request.Name, id, err)
	case status.Answer != nil && *status.Answer != c.Expected(run):
		r.violate(PromiseLookup, "%s (%s) has an answer that is not its own: %.60q", c.Request.Name, id, *status.Answer)
	case status.Ran == errkind.RanNo && run.Runs > 0:
		r.violate(harness.PromiseNotRun, "%s (%s) is looked up as %s and ran", c.Request.Name, id, status.Kind)
	}
}

// checkLeaving looks for runs that started at a target long after it was
// listed as leaving.
func (r *run) checkLeaving() {
	for id, run := range r.h.Runs() {
		for _, at := range run.Targets {
			since, leaving := r.leavingSince[string(at)]
			if leaving && run.Started.After(since.Add(listLag+leavingGrace)) {
				r.violate(PromiseLeaving, "%s started at %s %v after it was listed as leaving", id, at, run.Started.Sub(since).Round(time.Millisecond))
			}
		}
	}
}

func (r *run) checkPoison() {
	crashes := 0
	for _, run := range r.h.Runs() {
		if run.Content == poison {
			crashes += run.Runs
		}
	}
	if crashes > maxPoisonCrashes {
		r.violate(PromisePoison, "%d runs", crashes)
	}
}
