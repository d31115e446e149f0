// Package endpoint serves a stand-in on a TCP address and fails it at the
// network's level: refused connections, cut connections and connections that
// stay silent for good.
package endpoint

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 10 * time.Second

// Endpoint is one listening address. Its methods may be called concurrently.
type Endpoint struct {
	handler http.Handler

	mu       sync.Mutex
	address  string
	server   *http.Server
	listener *Listener
	reserved *reservation
	closed   bool
}

// ErrClosed is returned by Up after Close.
var ErrClosed = errors.New("endpoint is closed")

// Listen serves handler on address; port 0 takes a free port.
func Listen(address string, handler http.Handler) (*Endpoint, error) {
	reserved, err := reserve(address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{handler: handler, address: reserved.address, reserved: reserved}
	if err := e.Up(); err != nil {
		reserved.release()
		return nil, err
	}
	return e, nil
}

// Address returns host:port.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// URL returns the base URL.
func (e *Endpoint) URL() string { return "http://" + e.Address() }

// Up listens again after Down; it does nothing while listening. Errors wrap
// ErrClosed after Close.
func (e *Endpoint) Up() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return fmt.Errorf("listen on %q: %w", e.address, ErrClosed)
	}
	if e.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", e.address, err)
	}
	e.server = &http.Server{Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout}
	e.listener = NewListener(l)
	go serve(e.server, e.listener)
	return nil
}

func serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("stand-in on %s: %v", l.Addr(), err))
	}
}

// Down refuses new connections and cuts the open ones. The port stays
// reserved until Close.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	// The server closes only a listener that it has begun to serve.
	_ = e.listener.Close()
	e.server = nil
}

// Close is Down for good; the port is free afterwards.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Down()
	e.reserved.release()
}

// Silence makes every connection that is open now stay open and deliver
// nothing more in either direction. New connections work.
func (e *Endpoint) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Silence()
}
