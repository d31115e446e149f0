package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// faultGap is the mean time between the beginnings of two faults, faultFor
	// the longest that one lasts. Faults overlap.
	faultGap = 400 * time.Millisecond
	faultFor = 2500 * time.Millisecond
	// slowest is the longest delay of a slow connection.
	slowest = 150 * time.Millisecond
	// applyBound is how long a configuration may take to be in force.
	applyBound = 2 * time.Second
)

// faults injects random faults.
type faults struct {
	site   *site
	random *rand.Rand
	note   func(string)
	going  sync.WaitGroup
	// version is that of the configuration written last, added when the first
	// one with the added route was in force everywhere; zero before.
	version int
	added   time.Time
}

// fault harms something and returns how to end it.
type fault struct {
	name string
	do   func(f *faults) (heal func(), what string)
}

func kinds() []fault {
	return []fault{
		{"kill", func(f *faults) (func(), string) { return f.end(syscall.SIGKILL) }},
		{"stop", func(f *faults) (func(), string) { return f.end(syscall.SIGTERM) }},
		{"pause", pauseHost},
		{"reload", reloadHost},
		{"slow", func(f *faults) (func(), string) {
			p, what := f.proxy()
			delay := time.Duration(f.random.Int64N(int64(slowest)))
			p.harm(func(p *proxy) { p.delay = delay })
			return p.heal, what
		}},
		{"cut to backend", func(f *faults) (func(), string) {
			p, what := f.proxy()
			p.harm(func(p *proxy) { p.toBackend = true })
			return p.heal, what
		}},
		{"cut to caller", func(f *faults) (func(), string) {
			p, what := f.proxy()
			p.harm(func(p *proxy) { p.toCaller = true })
			return p.heal, what
		}},
		{"reset", func(f *faults) (func(), string) {
			p, what := f.proxy()
			p.reset()
			return func() {}, what
		}},
		{"silence", func(f *faults) (func(), string) {
			p, what := f.proxy()
			p.silence()
			return func() {}, what
		}},
		{"store down", func(f *faults) (func(), string) {
			f.site.store.SetDown(true)
			return func() { f.site.store.SetDown(false) }, "all hosts"
		}},
		{"store forgets", func(f *faults) (func(), string) {
			f.site.store.Truncate()
			return func() {}, "all topics"
		}},
		{"configure", configure},
		{"target fault", targetFault},
	}
}

// run begins faults until ctx ends, and waits until all have ended.
func (f *faults) run(ctx context.Context) {
	all := kinds()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.random.ExpFloat64() * float64(faultGap)))
		chosen := all[f.random.IntN(len(all))]
		lasts := time.Duration(f.random.Int64N(int64(faultFor)))
		heal, what := chosen.do(f)
		f.note(fmt.Sprintf("%s of %s for %s", chosen.name, what, lasts.Round(time.Millisecond)))
		f.going.Add(1)
		go func() {
			defer f.going.Done()
			time.Sleep(lasts)
			heal()
		}()
	}
	f.going.Wait()
}

func (f *faults) host() *host { return f.site.hosts[f.random.IntN(len(f.site.hosts))] }

// proxy returns one of those before a host, a target or a host's store.
func (f *faults) proxy() (p *proxy, what string) {
	h := f.host()
	switch f.random.IntN(3) {
	case 0:
		return h.front, "callers of " + h.name
	case 1:
		return h.store, "store of " + h.name
	default:
		t := f.site.targets[f.random.IntN(len(f.site.targets))]
		return t.proxy, "target " + t.ID
	}
}

// end ends a process by a signal and starts it again.
func (f *faults) end(sig syscall.Signal) (heal func(), what string) {
	h := f.host()
	if _, up := h.state(); !up {
		return func() {}, h.name + ", which is down"
	}
	h.signal(sig)
	ended := h.ended()
	return func() {
		<-ended
		if err := h.start(); err != nil {
			f.note("start of " + h.name + ": " + err.Error())
		}
	}, h.name
}

func pauseHost(f *faults) (heal func(), what string) {
	h := f.host()
	if _, up := h.state(); !up {
		return func() {}, h.name + ", which is down"
	}
	h.signal(syscall.SIGSTOP)
	return func() { h.signal(syscall.SIGCONT) }, h.name
}

func reloadHost(f *faults) (heal func(), what string) {
	h := f.host()
	if _, up := h.state(); up {
		h.signal(syscall.SIGHUP)
	}
	return func() {}, h.name
}

// configure writes a further version. Every one has the added route.
func configure(f *faults) (heal func(), what string) {
	f.version += 1 + f.random.IntN(3)
	f.site.store.PutConfig(standin.Config(f.version, standin.AddRoute))
	if f.added.IsZero() {
		f.added = time.Now().Add(applyBound)
	}
	return func() {}, fmt.Sprintf("version %d", f.version)
}

// targetFault makes the next request at a target go wrong.
func targetFault(f *faults) (heal func(), what string) {
	t := f.site.targets[f.random.IntN(len(f.site.targets))]
	kind := standin.Fault(1 + f.random.IntN(int(standin.MissingSignature)))
	t.QueueFaults(kind)
	return func() {}, fmt.Sprintf("%s, kind %d", t.ID, kind)
}
