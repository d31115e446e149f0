package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of an engine to its entry. The entry of a silent one
	// is removed after three of them.
	heartbeat = 1200 * time.Millisecond
	// bodyBytes is the length of a plain answer.
	bodyBytes = 800
)

// fate is what becomes of a run.
type fate struct {
	// reset ends the run with a reset of its connection, and without an answer.
	reset bool
	// crashAfter ends the process of the engine after so many events; zero if it does not crash.
	crashAfter int
	// crash ends the process as the run begins.
	crash bool
	// status is that of a plain answer; zero means 200.
	status int
}

// run is a request that an engine has begun to work on, or arrival one that has reached it.
type run struct {
	id, engine string
	at         time.Time
	tokens     int
}

// engine is a stand-in for an engine of a service, at a fixed address. Each start has an id of its own.
type engine struct {
	name, service string
	slots         int
	work          time.Duration
	// events is the number of events of a stream; zero for plain answers.
	events   int
	eventGap time.Duration
	downFor  time.Duration
	store    *store
	record   *record
	seen     *seen
	// decide returns the fate of a run; nil means that all end well.
	decide func(r *http.Request) fate

	address string

	mu       sync.Mutex
	id       string
	born     time.Time
	starts   int
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	working  int
	closed   bool
}

// seen is what the engines have seen. It is safe for concurrent use.
type seen struct {
	mu       sync.Mutex
	arrivals []run
	runs     []run
	crashes  []run
}

func (s *seen) add(list *[]run, r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, r)
}

// start begins a new incarnation, at the address of the one before.
func (e *engine) start() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return l.Close()
	}
	e.address, e.listener, e.conns, e.working = l.Addr().String(), l, make(map[net.Conn]bool), 0
	e.starts++
	e.id, e.born, e.sequence = fmt.Sprintf("i-%s-%d", e.name, e.starts), time.Now(), 0
	id := e.id
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(id, w, r) })}
	go func() { _ = server.Serve(&trackedListener{l, e}) }()
	go e.beat(id)
	return nil
}

// beat keeps the entry of an incarnation, and removes it once it has been silent for long.
func (e *engine) beat(id string) {
	for {
		e.mu.Lock()
		live := e.id == id && !e.closed
		e.sequence++
		entry := map[string]any{
			"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots,
			"state": "ready", "cold_ms": 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
		}
		e.mu.Unlock()
		if !live {
			time.Sleep(2 * heartbeat)
			e.store.put("keyed.servers", id, nil, "")
			return
		}
		e.store.putJSON("keyed.servers", id, entry)
		time.Sleep(heartbeat)
	}
}

// crash ends the process of an incarnation: its port is closed and all its connections are reset.
// The next one starts after downFor.
func (e *engine) crash(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != id || e.closed {
		return
	}
	e.id = ""
	e.endLocked()
	time.AfterFunc(e.downFor, func() {
		if err := e.start(); err != nil {
			e.record.say("engine %s does not start again: %v", e.name, err)
		}
	})
}

func (e *engine) endLocked() {
	_ = e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.endLocked()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type trackedListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	l.engine.conns[c] = true
	return c, nil
}

func (e *engine) serve(id string, w http.ResponseWriter, r *http.Request) {
	// A client that leaves is noticed only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/v1/report" {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "queue_depth": 0, "active_requests": e.working, "born": e.born.UnixMilli()})
		return
	}
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	seenRun := run{request, id, time.Now(), tokensOf(r)}
	e.seen.add(&e.seen.arrivals, seenRun)
	switch {
	case r.Header.Get("Expect-Instance") != id:
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case request == "" || !e.enter():
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.seen.add(&e.seen.runs, seenRun)
	e.record.log("engine %s runs %s", id, request)
	var f fate
	if e.decide != nil {
		f = e.decide(r)
	}
	e.answer(id, w, r, f)
}

func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.working >= e.slots {
		return false
	}
	e.working++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.working--
}

func (e *engine) answer(id string, w http.ResponseWriter, r *http.Request, f fate) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Response-Seal", "seal-"+request)
	switch {
	case f.crash:
		e.crashUnder(id, request, 0)
	case e.events > 0:
		e.stream(id, w, r, f)
	case !pause(r, e.work):
	case f.reset:
		e.record.log("engine %s loses the answer of %s", id, request)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			reset(conn)
		}
	case f.status != 0:
		e.record.log("engine %s has run %s and answers %d", id, request, f.status)
		w.WriteHeader(f.status)
		_, _ = io.WriteString(w, "the commission is booked, its receipt failed")
	default:
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	}
}

func (e *engine) crashUnder(id, request string, events int) {
	e.record.log("engine %s crashes under %s, %d events sent", id, request, events)
	e.seen.add(&e.seen.crashes, run{request, id, time.Now(), 0})
	e.crash(id)
	panic(http.ErrAbortHandler)
}

func (e *engine) stream(id string, w http.ResponseWriter, r *http.Request, f fate) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= e.events; n++ {
		if !pause(r, e.eventGap) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of the answer\n\n", n, n)
		_ = controller.Flush()
		if f.crashAfter > 0 && n >= f.crashAfter {
			pause(r, e.eventGap/2)
			e.crashUnder(id, r.Header.Get("Request-Id"), n)
		}
	}
}

// pause waits for d. It returns false if the sender of the request has left before.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func tokensOf(r *http.Request) int {
	first, second, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	a, errA := strconv.Atoi(first)
	b, errB := strconv.Atoi(second)
	if errA != nil || errB != nil {
		return 0
	}
	return a + b
}
