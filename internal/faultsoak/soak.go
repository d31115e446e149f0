package faultsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// Options say what to run.
type Options struct {
	// Binary is the path of the edge program, Dir where logs and settings go.
	Binary, Dir string
	Hosts       int
	Seed        uint64
	// Faults is how long faults begin; PerSecond the rate of requests.
	Faults    time.Duration
	PerSecond float64
	// Out receives a line for each fault and for each broken promise.
	Out io.Writer
}

const (
	// readyBound is how long hosts may take to serve at the start, readyPause the
	// time between two tries.
	readyBound = 10 * time.Second
	readyPause = 50 * time.Millisecond
	// recoverBound is how long the site may take to serve all again, calmFor
	// how long it is watched after that.
	recoverBound = 12 * time.Second
	calmFor      = 3 * time.Second
	// quiet is how long targets are watched for runs after the last answer.
	quiet = time.Second
	// models and plains are the numbers of targets, seedHosts that of the hosts
	// that settings name.
	models, plains, seedHosts = 4, 2, 3
)

// site is what a soak runs.
type site struct {
	store   *standin.Store
	targets []*target
	hosts   []*host
}

// target is a stand-in behind a proxy.
type target struct {
	*standin.Target
	proxy *proxy
}

// Result is what a soak saw.
type Result struct {
	Calls int
	// Broken promises, one line each.
	Broken []string
	// During and After are the shares of calls with success while faults were at
	// work and after all had ended.
	During, After float64
}

// Run plays one seed. Errors are those of the soak itself.
func Run(ctx context.Context, o Options) (Result, error) {
	s, err := build(o)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	return s.play(ctx, o), nil
}

func build(o Options) (*site, error) {
	s := &site{store: standin.NewStore()}
	s.store.PutConfig(standin.Config(1, nil))
	for i := range models + plains {
		t := standin.NewTarget(fmt.Sprintf("m-%d", i), standin.ModelService, "zone-1", streamEvents, streamPause)
		if i >= models {
			t = standin.NewTarget(fmt.Sprintf("p-%d", i), standin.PlainService, "zone-2", 0, plainPause)
		}
		entry := t.Entry("ready")
		address, _ := entry["address"].(string)
		p, err := newProxy(address)
		if err != nil {
			return s, err
		}
		entry["address"] = p.address()
		s.targets = append(s.targets, &target{t, p})
		s.store.PutTarget(t.ID, entry)
	}
	var seeds []string
	for i := range o.Hosts {
		h, err := newHost(fmt.Sprintf("edge-%d", i+1), o.Binary, o.Dir, s.store.Address(), seeds)
		if err != nil {
			return s, err
		}
		if err := h.start(); err != nil {
			return s, err
		}
		s.hosts = append(s.hosts, h)
		if len(seeds) < seedHosts {
			seeds = append(seeds, h.settings.Listen.Control)
		}
	}
	return s, nil
}

func (s *site) close() {
	for _, h := range s.hosts {
		h.close()
	}
	for _, t := range s.targets {
		t.proxy.close()
		t.Close()
	}
	s.store.Close()
}

var errNotReady = errors.New("a host does not serve")

func (s *site) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyBound)
	for _, h := range s.hosts {
		for {
			a := standin.Call{Method: http.MethodGet, Path: standin.LookupPath + "x", Key: standin.Key}.Do(ctx, h.front.address())
			if a.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s answers %d after %s", errNotReady, h.name, a.Status, readyBound)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func (s *site) play(ctx context.Context, o Options) Result {
	began := time.Now()
	var mu sync.Mutex
	note := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		// The soak goes on without its reader.
		_, _ = fmt.Fprintf(o.Out, "%7.3f %s\n", time.Since(began).Seconds(), what)
	}
	f := &faults{site: s, random: rand.New(rand.NewPCG(o.Seed, 1)), note: note, version: 1}
	l := &load{hosts: s.hosts}
	loading, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		l.run(loading, o.PerSecond, rand.New(rand.NewPCG(o.Seed, 2)))
		close(finished)
	}()
	faulty, cancel := context.WithTimeout(ctx, o.Faults)
	f.run(faulty)
	cancel()
	// The added route must be served by all hosts in the end.
	configure(f)
	healed := time.Now()
	note("all faults have ended")
	select {
	case <-time.After(recoverBound + calmFor):
	case <-ctx.Done():
	}
	stop()
	<-finished
	time.Sleep(quiet)
	return s.judge(l.calls, began, healed, f.added)
}

func (s *site) judge(calls []*call, began, healed, added time.Time) Result {
	r := Result{Calls: len(calls)}
	r.Broken = append(check(calls, s.targets), regressed(calls)...)
	for _, h := range s.hosts {
		h.mu.Lock()
		for _, surprise := range h.surprises {
			r.Broken = append(r.Broken, "a process ended by itself: "+surprise)
		}
		h.mu.Unlock()
	}
	r.During, _ = share(calls, began, added)
	after, n := share(calls, healed.Add(recoverBound), added)
	r.After = after
	if after < recovered {
		r.Broken = append(r.Broken, fmt.Sprintf("not recovered: %.3f of %d calls succeeded later than %s after the last fault", after, n, recoverBound))
	}
	return r
}
