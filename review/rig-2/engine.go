package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// usualWork is how long a request runs, and downTime how long an engine is down after a crash.
	usualWork = 30 * time.Millisecond
	downTime  = 3 * time.Second
	// heartbeatInterval is that of the entries of engines.
	heartbeatInterval = 1200 * time.Millisecond
	usualSlots        = 6
)

// engine is a plain service's server. It serves at one address; after a crash it starts again there
// under the id that it had.
type engine struct {
	id, service, zone, address string
	cluster                    *cluster
	// work is how long a request runs, and slots how many run at a time, as its entry says.
	work  time.Duration
	slots int
	// crashes reports whether a request crashes the engine that runs it.
	crashes func(*http.Request) bool
	// fails reports whether a request that has run is answered with an error.
	fails func(*http.Request) bool

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	sequence int
	closed   bool
	arrivals []arrival
}

// arrival is a request that has reached an engine.
type arrival struct {
	at           time.Time
	request, uri string
	crashed      bool
}

// addEngine starts an engine and writes its entry.
func (c *cluster) addEngine(id, service, zone string) (*engine, error) {
	return c.addSlowEngine(id, service, zone, usualSlots, usualWork)
}

// addSlowEngine starts an engine with a number of slots whose requests run for a time.
func (c *cluster) addSlowEngine(id, service, zone string, slots int, work time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	never := func(*http.Request) bool { return false }
	e := &engine{id: id, service: service, zone: zone, address: l.Addr().String(), cluster: c, work: work, slots: slots, crashes: never, fails: never}
	c.engines = append(c.engines, e)
	e.begin(l)
	go e.beat()
	return e, nil
}

// begin begins a start of the engine.
func (e *engine) begin(l net.Listener) {
	e.mu.Lock()
	e.born, e.sequence = time.Now(), 0
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.register()
}

// register writes the entry.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.closed {
		return
	}
	e.sequence++
	e.cluster.store.PutTarget(e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "1", "slots": e.slots,
		"state": "ready", "cold_ms": 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
}

func (e *engine) beat() {
	for {
		time.Sleep(heartbeatInterval)
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		e.register()
	}
}

// crash ends the engine with all its connections. It is back after downTime.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp", e.address)
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		switch {
		case err != nil:
			e.cluster.record.line("engine %s can't start again: %v", e.id, err)
		case closed:
			_ = l.Close()
		default:
			e.cluster.record.line("engine %s is back", e.id)
			e.begin(l)
		}
	})
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.server != nil {
		_ = e.server.Close()
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/v1/report" {
		e.report(w)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashes := e.crashes(r)
	e.note(arrival{time.Now(), id, r.RequestURI, crashes})
	if crashes {
		e.cluster.record.line("request %s (%s) crashes engine %s", id, r.RequestURI, e.id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.work):
	}
	w.Header().Set("Response-Seal", "seal-"+e.id+"-"+id)
	if e.fails(r) {
		e.cluster.record.line("request %s (%s) has failed at engine %s", id, r.RequestURI, e.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.cluster.record.line("request %s (%s) has run at engine %s", id, r.RequestURI, e.id)
	// A write error means that the connection is closed.
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

func (e *engine) note(a arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"stage":"both","busy":false,"sequence":%d,"born":%d}`, e.sequence, e.born.UnixMilli())
}

// allArrivals returns the requests that have reached engines, in no order.
func (c *cluster) allArrivals() []arrival {
	var out []arrival
	for _, e := range c.engines {
		e.mu.Lock()
		out = append(out, e.arrivals...)
		e.mu.Unlock()
	}
	return out
}
