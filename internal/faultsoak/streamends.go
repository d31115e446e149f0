package faultsoak

import (
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// unframedShare is the share of the targets whose answers have neither a length nor
	// chunks, and http10Share the share of HTTP/1.0 among the calls for streams.
	unframedShare, http10Share = 0.5, 0.2
	// targetEndShare and ignoreShare are the shares of the faults with which a target
	// process is ended or a target begins to ignore Last-Event-Id.
	targetEndShare, ignoreShare = 0.6, 0.2
	// maxTargetOutage is the longest time until an ended target process starts again.
	maxTargetOutage = time.Second
)

// addStreamEnds sets whether the target leaves its answers unframed, and gives a model
// target a process of its own.
func (t *target) addStreamEnds(unframed bool) error {
	t.unframed = unframed
	t.SetUnframed(unframed)
	if t.Service != standin.ModelService {
		return nil
	}
	var err error
	t.process, err = startTargetProcess(t.proxy.address())
	return err
}

// drawStreamEnds draws the faults of a step. Without streamEndRNG there are none.
func (i *injector) drawStreamEnds() {
	rng := i.streamEndRNG
	if rng == nil {
		return
	}
	if rng.Float64() < targetEndShare {
		i.begin(fault{"end of a target process", endTarget}, time.Duration(rng.Int64N(int64(maxTargetOutage))))
	}
	if rng.Float64() < ignoreShare {
		i.begin(fault{"ignored Last-Event-Id", ignoreLastEventID}, time.Duration(rng.Int64N(int64(maxFaultDuration))))
	}
}

// endTarget ends the process of a model target, by SIGKILL without notice or by SIGTERM
// after its entry has said that it is leaving. At the end of the fault it starts again.
func endTarget(i *injector) (heal func(), affected string) {
	c, t := i.cluster, i.cluster.target(i.streamEndRNG.IntN(modelTargets))
	sig := syscall.SIGKILL
	if i.streamEndRNG.IntN(2) == 0 {
		sig = syscall.SIGTERM
		c.store.PutTarget(t.ID, t.entry("draining"))
	}
	if !t.process.end(sig) {
		return func() {}, t.ID + ", which is down"
	}
	return func() {
		if err := t.process.start(); err != nil {
			i.log("starting the process of " + t.ID + " failed: " + err.Error())
			return
		}
		t.Restart()
		if c.hasPlace(t) {
			t.register(c.store)
		}
	}, t.ID + " by " + sig.String()
}

// ignoreLastEventID makes a model target begin each stream at event 1.
func ignoreLastEventID(i *injector) (heal func(), affected string) {
	t := i.cluster.target(i.streamEndRNG.IntN(modelTargets))
	t.SetFault(standin.IgnoreLastEventID)
	return func() { t.SetFault(standin.NoFault) }, t.ID
}
