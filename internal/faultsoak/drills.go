package faultsoak

import (
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// drillTypes returns the faults that injector.drillRNG draws.
func drillTypes() []fault {
	return []fault{
		{"restored store", restoreStore},
		{"departure", announceDeparture},
		{"quiet time", requestQuiet},
	}
}

// restoreStore copies the store now. At the end of the fault the store is away for a
// moment and comes back from that copy; the operator and the targets write their
// records again.
func restoreStore(i *injector) (heal func(), affected string) {
	store := i.cluster.store
	store.Copy()
	return func() {
		store.SetDown(true)
		time.Sleep(restoreOutage)
		store.Restore()
		store.SetDown(false)
		if version := int(i.configVersion.Load()); version > 1 {
			store.PutConfig(standin.Config(version, standin.AddRoute))
		}
		i.cluster.registerTargets()
	}, "all records since now"
}

// announceDeparture makes all answers of a target say that it is leaving. At the end
// of the fault the target starts again.
func announceDeparture(i *injector) (heal func(), affected string) {
	t := i.cluster.drawTarget(i.drillRNG)
	t.SetLeaving(true)
	return func() {
		t.Restart()
		if i.cluster.hasPlace(t) {
			t.register(i.cluster.store)
		}
	}, t.ID
}

// requestQuiet makes a target refuse requests and ask for a quiet time.
func requestQuiet(i *injector) (heal func(), affected string) {
	t := i.cluster.drawTarget(i.drillRNG)
	t.SetRetryAfter("0.8")
	t.QueueFaults(standin.Refuse, standin.Refuse)
	return func() { t.SetRetryAfter("") }, t.ID
}

// register writes the record of the target, whose connections go through its proxy.
func (t *target) register(store *standin.Store) {
	store.PutTarget(t.ID, t.entry("ready"))
}

func (t *target) entry(state string) map[string]any {
	entry := t.Entry(state)
	entry["address"] = t.proxy.address()
	if t.process != nil {
		entry["address"] = t.process.listenAddress()
	}
	return entry
}
