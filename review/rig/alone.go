package main

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// partialStore passes calls on to the store, but for those of one topic while it is down.
type partialStore struct {
	server *http.Server
	down   atomic.Pointer[string]
}

func newPartialStore(target string) (*partialStore, string, error) {
	p := &partialStore{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	p.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if topic := p.down.Load(); topic != nil && r.URL.Query().Get("topic") == *topic {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	go func() { _ = p.server.Serve(l) }()
	return p, l.Addr().String(), nil
}

// setDown makes a topic unavailable; none if it is empty.
func (p *partialStore) setDown(topic string) {
	if topic == "" {
		p.down.Store(nil)
		return
	}
	p.down.Store(&topic)
}

const (
	// The quota of the tenant, and the figures of the rule: quota_window_s, quota_overshoot and
	// quota_slack.
	quotaRate, quotaBurst           = 36000, 72000
	quotaWindow                     = 8 * time.Second
	quotaOvershoot, quotaSlack      = 0.1, 140000
	promptTokens, outputTokens      = 6000, 700
	requestTokens                   = promptTokens + outputTokens
	aloneSenders                    = 8
	alonePause                      = 40 * time.Millisecond
	partlyDown                      = 4500 * time.Millisecond
	restartDelay                    = time.Second
	beforeKill, afterOutage         = 10 * time.Second, 3 * time.Second
	settingsSlack, deploymentsSlack = "quota_slack: 0}", "quota_slack: 140000}"
)

func init() { cases["alone"] = alone }

// alone kills all processes at once while a tenant asks for more than its quota. With the
// disruption one partition of the store is down meanwhile.
func alone(c *cluster, trouble bool, out *record) ([]string, error) {
	c.store.PutConfig(standin.Config(1, func(config map[string]any) {
		config["tenants"] = []any{map[string]any{
			"name": standin.Customer, "api_keys": []string{standin.Key}, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": quotaRate, "burst": quotaBurst,
		}}
	}))
	var engines []*engine
	for _, id := range []string{"i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"} {
		e, err := c.addEngine(id, standin.PlainService, answerPlain)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	store, address, err := newPartialStore(c.store.Address())
	if err != nil {
		return nil, err
	}
	defer func() { _ = store.server.Close() }()
	c.storeAddress, c.settings = address, map[string]string{settingsSlack: deploymentsSlack}
	if err := c.addHosts(4); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var calls []*call
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for _, h := range c.hosts {
		for range aloneSenders {
			senders.Add(1)
			go func() {
				defer senders.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(alonePause):
					}
					sent := sendTokens(h, "POST", standin.SubmitPath+"x", standin.Key, "body", promptTokens, outputTokens)
					out.note("sent to %s: %s", h.name, sent)
					mu.Lock()
					calls = append(calls, sent)
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(beforeKill)
	if trouble {
		store.setDown("keyed.hosts")
		out.line("one partition of the store is down: 503 to calls of the topic keyed.hosts")
	}
	for _, h := range c.hosts {
		h.end(syscall.SIGKILL)
	}
	out.line("all processes are killed")
	time.Sleep(restartDelay)
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	out.line("all processes are started again")
	time.Sleep(partlyDown - restartDelay)
	store.setDown("")
	out.line("the store is whole again")
	time.Sleep(afterOutage)
	close(stop)
	senders.Wait()
	return checkQuota(engines, out), nil
}

// checkQuota returns the window in which most tokens arrived at engines, if that is more than
// the rule allows.
func checkQuota(engines []*engine, out *record) []string {
	var times []time.Time
	for _, e := range engines {
		for _, a := range e.ran() {
			out.note("%s runs %s", a.engine, a.id)
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	most, at, first := 0, 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, first
		}
	}
	out.line("most tokens in %s: %d, allowed %.0f", quotaWindow, most*requestTokens, limit)
	if float64(most*requestTokens) <= limit {
		return nil
	}
	return []string{fmt.Sprintf("%d tokens of the tenant run in the %s from %.3f s on, allowed are %.0f", most*requestTokens, quotaWindow, times[at].Sub(out.begun).Seconds(), limit)}
}
