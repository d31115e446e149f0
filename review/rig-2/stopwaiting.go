package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// longWork is how long a request of the service of long jobs runs, longDeadline how long its
	// clients wait, and longAimMS its latency objective.
	longWork     = 7500 * time.Millisecond
	longDeadline = 15 * time.Second
	longAimMS    = 12000
	// longEngines is the number of its engines, each of which runs longSlots requests.
	longEngines, longSlots = 2, 2
	// waiters is the number of requests that wait for a slot at the host that is stopped. They are
	// sent waitingAfter its SIGTERM, when the platform has not yet noticed that it takes no new
	// connections. The requests that take all slots are sent to other hosts, at runningAfter.
	waiters                    = 4
	runningAfter, waitingAfter = 200 * time.Millisecond, time.Second
	// graceTime and lossSlack are those of smalt-desk. afterGrace is how long after the grace time
	// requests count.
	graceTime  = 8 * time.Second
	afterGrace = time.Second
	lossSlack  = 200 * time.Millisecond
)

// playStopWaiting stops a host that has accepted requests which wait for a slot.
func playStopWaiting(c *cluster, trouble bool) (bool, error) {
	c.store.PutConfig(standin.Config(1, slowSubmits))
	for i := range longEngines {
		if _, err := c.addSlowEngine(fmt.Sprintf("i-%d", i), standin.PlainService, fmt.Sprintf("zone-%c", 'a'+i), longSlots, longWork); err != nil {
			return false, err
		}
	}
	if err := c.start(); err != nil {
		return false, err
	}
	stopped, others := c.hosts[hostCount-1], c.hosts[:hostCount-1]
	var clients sync.WaitGroup
	stoppedAt := time.Now()
	if trouble {
		c.record.line("SIGTERM for %s", stopped.Name)
		clients.Go(func() {
			stopped.End(syscall.SIGTERM, graceTime)
			c.record.line("%s has ended", stopped.Name)
		})
	}
	time.Sleep(runningAfter)
	for i := range longEngines * longSlots {
		clients.Go(func() {
			c.sendWithin(longDeadline, others[i%len(others)], http.MethodPost, fmt.Sprintf("%srunning-%d", standin.SubmitPath, i))
		})
	}
	time.Sleep(waitingAfter - runningAfter)
	answers := make([]answer, waiters)
	for i := range waiters {
		clients.Go(func() {
			answers[i] = c.sendWithin(longDeadline, stopped, http.MethodPost, fmt.Sprintf("%swaiting-%d", standin.SubmitPath, i))
		})
	}
	clients.Wait()
	lost := 0
	for _, a := range answers {
		inTime := a.endedAt.Before(stoppedAt.Add(graceTime + afterGrace))
		if a.status == 0 && inTime && a.endedAt.Sub(a.sentAt) > lossSlack && a.endedAt.Sub(a.sentAt) < longDeadline && !c.reached(a.request) {
			lost++
		}
	}
	c.record.result("%d requests waited for a slot; %d connections ended without an answer, and no engine had their requests", waiters, lost)
	return lost > 0, nil
}

// reached reports whether a request has reached an engine.
func (c *cluster) reached(request string) bool {
	for _, a := range c.allArrivals() {
		if a.request == request {
			return true
		}
	}
	return false
}

// slowSubmits makes the non-idempotent route one of long jobs.
func slowSubmits(config map[string]any) {
	routes, _ := config["routes"].([]any)
	for _, r := range routes {
		if route, _ := r.(map[string]any); route["path_prefix"] == standin.SubmitPath {
			route["timeout_ms"], route["target_latency_ms"], route["max_attempts"] = longDeadline.Milliseconds(), longAimMS, 1
		}
	}
}
