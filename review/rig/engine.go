package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request as an engine has read it from its socket, bytes unchanged.
type arrival struct {
	engine, service string
	// line is the request line, id the value of Request-Id.
	line, id string
	header   http.Header
	body     string
	at       time.Time
	conn     net.Conn
}

// engine is a small stand-in for a model engine or a plain service.
type engine struct {
	id string
	// answer writes the answer to a request and reports whether the connection stays open.
	answer func(e *engine, a *arrival, w *bufio.Writer) bool

	mu       sync.Mutex
	service  string
	address  string
	listener net.Listener
	born     time.Time
	sequence int
	arrivals []*arrival
	open     map[net.Conn]bool
}

// answerFunc answers one request; see engine.
type answerFunc = func(e *engine, a *arrival, w *bufio.Writer) bool

// newEngine starts an engine on a free loopback port.
func newEngine(id, service string, answer answerFunc) (*engine, error) {
	e := &engine{id: id, answer: answer, address: "127.0.0.1:0", open: make(map[net.Conn]bool)}
	return e, e.start(service)
}

// start starts the engine, for the first time or again under its ID at its address. It knows
// nothing of before.
func (e *engine) start(service string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.address, e.service, e.born, e.sequence = l, l.Addr().String(), service, time.Now(), 0
	go e.accept(l)
	return nil
}

// crash ends the engine: its connections are reset and its port is closed.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn := range e.open {
		reset(conn)
	}
	clear(e.open)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.open, conn)
		e.mu.Unlock()
	}()
	in, out := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		a, err := readArrival(in)
		if err != nil {
			return
		}
		e.mu.Lock()
		a.engine, a.service, a.at, a.conn = e.id, e.service, time.Now(), conn
		expected := a.header.Get("Expect-Instance")
		mine := expected == "" || expected == e.id
		if mine {
			e.arrivals = append(e.arrivals, a)
		}
		e.mu.Unlock()
		if !mine {
			fmt.Fprintf(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", a.id, e.id)
			if out.Flush() != nil {
				return
			}
			continue
		}
		keep := e.answer(e, a, out)
		if out.Flush() != nil || !keep {
			return
		}
	}
}

// readArrival reads a request whose body, if it has one, has a length.
func readArrival(in *bufio.Reader) (*arrival, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	a := &arrival{line: strings.TrimRight(line, "\r\n"), header: make(http.Header)}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		a.header.Add(name, strings.TrimSpace(value))
	}
	a.id = a.header.Get("Request-Id")
	if n, err := strconv.Atoi(a.header.Get("Content-Length")); err == nil {
		body := make([]byte, n)
		if _, err := io.ReadFull(in, body); err != nil {
			return nil, err
		}
		a.body = string(body)
	}
	return a, nil
}

// ran returns the requests that the engine has begun to work on.
func (e *engine) ran() []*arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*arrival(nil), e.arrivals...)
}

// entry returns the next entry of the engine for the store.
func (e *engine) entry(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"born": e.born.UnixMilli(), "service": e.service, "address": e.address, "zone": "zone-1",
		"version": "v1", "slots": slots, "state": state, "cold_ms": 0, "sequence": e.sequence,
	}
}

// slots is the number of requests that an engine takes at once.
const slots = 6

// plainTime is how long a plain request takes.
const plainTime = 20 * time.Millisecond

// answerPlain answers as a plain service.
func answerPlain(e *engine, a *arrival, w *bufio.Writer) bool {
	time.Sleep(plainTime)
	body := "answer of " + a.service + " to " + a.id
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s", a.id, e.id, a.id, len(body), body)
	return a.header.Get("Connection") != "close"
}
