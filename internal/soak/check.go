package soak

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Guarantees that the soak checks in addition to those of harness.Audit.
const (
	GuaranteeCompletion    = "every request and every fault step completes"
	GuaranteeVersionOrder  = "configuration versions never decrease and hosts agree on them"
	GuaranteeTierOrder     = "no higher tier is shed while a lower one runs"
	GuaranteeLeavingTarget = "a leaving target gets no new work"
	GuaranteeShutdown      = "a graceful shutdown interrupts no request"
	GuaranteePoisonRequest = "a poison request crashes at most two engines"
	GuaranteeLookup        = "the outcome of an interrupted request can be looked up"
	leavingGrace           = 3 * time.Second
	maxPoisonCrashes       = 2
	versionTimeout         = 5 * time.Second
)

// sampleVersions records the configuration version of every ready host each
// samplePeriod until ctx is done.
func (r *run) sampleVersions(ctx context.Context) {
	for sleep(ctx, samplePeriod) {
		for _, host := range r.h.Hosts() {
			if host.Running(harness.ProcessGate) && host.Ready() {
				r.recordVersion(string(host.ID), host.Version())
			}
		}
	}
}

// recordVersion records the configuration version of a host and adds a violation
// if the version has decreased. It ignores version 0, which a host has after a
// restart until a configuration is in force.
func (r *run) recordVersion(host string, version uint64) {
	if version == 0 {
		return
	}
	r.mu.Lock()
	previous := r.highestVersions[host]
	r.highestVersions[host] = max(previous, version)
	r.mu.Unlock()
	if version < previous {
		r.addViolation(GuaranteeVersionOrder, "version of host %s decreased from %d to %d", host, previous, version)
	}
}

// highestVersion returns the highest configuration version in force on any host
// whose gate is running.
func (r *run) highestVersion() uint64 {
	highest := uint64(0)
	for _, host := range r.h.Hosts() {
		if host.Running(harness.ProcessGate) {
			highest = max(highest, host.Version())
		}
	}
	return highest
}

// checkShutdown checks that the calls that were open when a graceful shutdown
// started have completed without losing their connection. It waits up to
// balancerWait for each call, and ignores connections that the caller closed itself.
func (r *run) checkShutdown(host string, open []*harness.Call) {
	r.mu.Lock()
	r.shutdowns++
	r.mu.Unlock()
	for _, c := range open {
		select {
		case <-c.Done():
		case <-time.After(balancerWait):
			r.addViolation(GuaranteeShutdown, "%s is still open after the shutdown of %s", c.Request.Name, host)
			continue
		}
		result := c.Result()
		if result.Kind == harness.KindConnectionLost && !c.Disconnected() {
			r.addViolation(GuaranteeShutdown, "%s was interrupted by the shutdown of %s: %s", c.Request.Name, host, result.Detail)
		}
	}
}

// checkVersionAgreement checks that all running hosts reach the highest version
// within versionTimeout.
func (r *run) checkVersionAgreement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	if err := r.h.AwaitVersion(ctx, r.highestVersion()); err != nil {
		r.addViolation(GuaranteeVersionOrder, "%v", err)
	}
}

// checkInterrupted looks up the outcome of every request whose connection was lost
// after the caller had received the request ID. It skips connections that the
// caller closed itself. It also checks that all hosts agree on the version.
func (r *run) checkInterrupted(ctx context.Context) {
	runs := r.h.Runs()
	for _, c := range r.h.Calls() {
		result := c.Result()
		if result.Kind != harness.KindConnectionLost || result.ID == "" || c.Disconnected() {
			continue
		}
		r.checkLookup(ctx, c, runs[result.ID])
	}
	r.checkVersionAgreement(ctx)
}

// checkLookup looks up a request at a random host behind the balancer. It checks
// that the answer, if any, is the expected one, and that a request that a target ran
// is not reported as not run.
func (r *run) checkLookup(ctx context.Context, c *harness.Call, run harness.Run) {
	id := c.Result().ID
	r.mu.Lock()
	host := r.balancedHosts[r.rng.IntN(len(r.balancedHosts))]
	r.mu.Unlock()
	status, err := r.h.Lookup(ctx, host, c.Request.CustomerKey, id)
	switch {
	case err != nil:
		r.addViolation(GuaranteeLookup, "%s (%s): %v", c.Request.Name, id, err)
	case status.Answer != nil && *status.Answer != c.Expected(run):
		r.addViolation(GuaranteeLookup, "%s (%s): lookup returned an unexpected answer: %.60q", c.Request.Name, id, *status.Answer)
	case status.Ran == errkind.RanNo && run.Runs > 0:
		r.addViolation(harness.GuaranteeNotRun, "%s (%s): lookup returned %s, not run, although a target ran it", c.Request.Name, id, status.Kind)
	}
}

// checkLeaving adds a violation for each request whose latest run started later than
// listLag plus leavingGrace after one of its targets was listed as leaving.
func (r *run) checkLeaving() {
	for id, run := range r.h.Runs() {
		for _, at := range run.Targets {
			since, leaving := r.leavingSince[string(at)]
			if leaving && run.Started.After(since.Add(listLag+leavingGrace)) {
				r.addViolation(GuaranteeLeavingTarget, "%s started at %s %v after it was listed as leaving", id, at, run.Started.Sub(since).Round(time.Millisecond))
			}
		}
	}
}

// checkPoison checks that poison requests ran at most maxPoisonCrashes times. Every
// run crashes an engine.
func (r *run) checkPoison() {
	crashes := 0
	for _, run := range r.h.Runs() {
		if run.Content == poisonPrompt {
			crashes += run.Runs
		}
	}
	if crashes > maxPoisonCrashes {
		r.addViolation(GuaranteePoisonRequest, "%d runs", crashes)
	}
}
