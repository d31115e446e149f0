package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	crashDuration = 40 * time.Second
	// crashContents is the number of requests that crash engines, each sent again every crashPeriod.
	crashContents = 2
	crashPeriod   = 2 * time.Second
	// crashOffset is the time from the first request to the second one.
	crashOffset = 500 * time.Millisecond
	// soundPeriod is the time between two sound requests, which are for another service.
	soundPeriod = 200 * time.Millisecond
	// crashesBefore is the number of crashes after which a request may reach engines in maxRetries
	// more retries.
	crashesBefore, maxRetries  = 3, 3
	crashEngines, soundEngines = 4, 2
	// recordService is the service whose engines crash.
	recordService = "records"
)

// playCrashRequests plays two requests that crash the engines which run them, and sound traffic for
// another service.
func playCrashRequests(c *cluster, trouble bool) (bool, error) {
	c.store.PutConfig(standin.Config(1, moveLookups))
	for i := range crashEngines + soundEngines {
		service := recordService
		if i >= crashEngines {
			service = standin.PlainService
		}
		e, err := c.addEngine(fmt.Sprintf("i-%d", i), service, fmt.Sprintf("zone-%c", 'a'+i%crashEngines))
		if err != nil {
			return false, err
		}
		e.crashes = func(r *http.Request) bool { return trouble && strings.HasPrefix(r.URL.Path, crashPath) }
	}
	if err := c.start(); err != nil {
		return false, err
	}
	end := time.Now().Add(crashDuration)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string][]answer)
	for i := range crashContents {
		clients.Go(func() {
			path := fmt.Sprintf("%s%d", crashPath, i)
			time.Sleep(time.Duration(i) * crashOffset)
			for time.Now().Before(end) {
				a := c.send(c.anyHost(), http.MethodGet, path)
				mu.Lock()
				sent[path] = append(sent[path], a)
				mu.Unlock()
				time.Sleep(time.Until(a.sentAt.Add(crashPeriod)))
			}
		})
	}
	served, unserved := 0, 0
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			a := c.send(c.anyHost(), http.MethodPost, fmt.Sprintf("%ssound-%d", standin.SubmitPath, n))
			if a.status == http.StatusOK {
				served++
			} else {
				unserved++
			}
			time.Sleep(time.Until(a.sentAt.Add(soundPeriod)))
		}
	})
	clients.Wait()
	c.record.result("sound requests: %d served, %d not", served, unserved)
	broken := false
	for path, attempts := range sent {
		broken = c.checkCrashes(path, attempts) || broken
	}
	return broken, nil
}

// moveLookups gives the idempotent route a service of its own, and as many attempts as on smalt-desk.
func moveLookups(config map[string]any) {
	routes, _ := config["routes"].([]any)
	for _, r := range routes {
		if route, _ := r.(map[string]any); route["path_prefix"] == standin.LookupPath {
			route["service"], route["max_attempts"] = recordService, 2
		}
	}
	services, _ := config["services"].([]any)
	config["services"] = append(services, map[string]any{"name": recordService, "health_path": "/health", "max_connections": 200})
}

// crashPath begins the paths of the requests that crash engines.
const crashPath = standin.LookupPath + "crash-"

// checkCrashes reports whether a request has reached engines in more than maxRetries attempts that were
// sent later than stabilityWindow after its third crash.
func (c *cluster) checkCrashes(path string, attempts []answer) bool {
	var crashes []time.Time
	reached := make(map[string]bool)
	for _, a := range c.allArrivals() {
		if a.uri != path {
			continue
		}
		reached[a.request] = true
		if a.crashed {
			crashes = append(crashes, a.at)
		}
	}
	if len(crashes) < crashesBefore {
		c.record.result("%s: %d attempts, %d crashes", path, len(attempts), len(crashes))
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[crashesBefore-1].Add(stabilityWindow)
	retries := 0
	for _, a := range attempts {
		if a.sentAt.After(from) && reached[a.request] {
			retries++
		}
	}
	c.record.result("%s: %d attempts, %d crashes; %d retries sent over %v after the third crash reached engines, allowed %d",
		path, len(attempts), len(crashes), retries, stabilityWindow, maxRetries)
	return retries > maxRetries
}
