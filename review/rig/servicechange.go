package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// reuseAfter is longer than reuse_after_s, and shorter than the three heartbeats after which
	// the entry of a silent engine is removed.
	reuseAfter = 2500 * time.Millisecond
	// knownAfter is how long after an engine's new entry requests count. It exceeds
	// config_apply_ms, drain_ms and stability_window_ms.
	knownAfter = 4 * time.Second
	// serviceChangeCalls is the number of requests of each kind that are sent after that
	// to each process, atOnce of them at a time.
	serviceChangeCalls, atOnce = 120, 4
)

func init() { cases["service-change"] = serviceChange }

// serviceChange lets the plain engine that has run most crash and start again under its ID and at its address, with
// the disruption as an engine of the other service.
func serviceChange(c *cluster, trouble bool, out *record) ([]string, error) {
	c.store.PutConfig(standin.Config(1, nil))
	var engines []*engine
	for _, id := range []string{"i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4", "i-model-1", "i-model-2", "i-model-3", "i-model-4"} {
		service := standin.PlainService
		if strings.Contains(id, "model") {
			service = standin.ModelService
		}
		e, err := c.addEngine(id, service, answerPlain)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := c.addHosts(3); err != nil {
		return nil, err
	}
	calls := sendPlain(c, out, 20)
	moved, next := engines[0], standin.PlainService
	for _, e := range engines {
		if len(e.ran()) > len(moved.ran()) {
			moved = e
		}
	}
	if trouble {
		next = standin.ModelService
	}
	c.setSilent(moved, true)
	moved.crash()
	out.line("%s crashes", moved.id)
	time.Sleep(reuseAfter)
	if err := moved.start(next); err != nil {
		return nil, err
	}
	c.setSilent(moved, false)
	out.line("%s starts again at %s as an engine of %s", moved.id, moved.address, next)
	listedAt := time.Now()
	time.Sleep(knownAfter)
	calls = append(calls, sendPlain(c, out, serviceChangeCalls)...)
	var broken []string
	for _, e := range engines {
		for _, a := range e.ran() {
			sent := callOf(calls, a.id)
			if sent == nil {
				continue
			}
			out.note("%s of service %s runs %s %q", a.engine, a.service, a.id, a.line)
			if a.service != standin.PlainService && sent.sentAt.After(listedAt.Add(knownAfter)) {
				broken = append(broken, fmt.Sprintf("%s runs at %s, an engine of %s, sent %s after its entry was written; its route goes to %s only", sent, a.engine, a.service, sent.sentAt.Sub(listedAt).Round(time.Millisecond), standin.PlainService))
			}
		}
	}
	return broken, nil
}

// sendPlain sends n requests of each plain route to each process, some at once.
func sendPlain(c *cluster, out *record, n int) []*call {
	var mu sync.Mutex
	var calls []*call
	var senders sync.WaitGroup
	for _, h := range c.hosts {
		for range atOnce {
			senders.Add(1)
			go func() {
				defer senders.Done()
				for range n / atOnce {
					for _, sent := range []*call{
						send(h, "POST", standin.SubmitPath+"x", standin.Key, "body"),
						send(h, "GET", standin.LookupPath+"x", standin.Key, ""),
					} {
						out.note("sent to %s: %s", h.name, sent)
						mu.Lock()
						calls = append(calls, sent)
						mu.Unlock()
					}
				}
			}()
		}
	}
	senders.Wait()
	return calls
}

// callOf returns the call with an ID, or nil.
func callOf(calls []*call, id string) *call {
	for _, c := range calls {
		if c.id == id {
			return c
		}
	}
	return nil
}
