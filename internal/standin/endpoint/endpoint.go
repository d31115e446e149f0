// Package endpoint serves a stand-in on a TCP address and injects network
// faults: refused connections, closed connections and connections that stay
// open without carrying data.
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

// Endpoint serves an HTTP handler on one TCP address. Its methods may be
// called concurrently.
type Endpoint struct {
	handler http.Handler

	mu          sync.Mutex
	address     string
	server      *http.Server
	listener    *Listener
	suspension  *Suspension
	reservation *reservation
	closed      bool
}

// ErrClosed is wrapped by the error that Up returns after Close.
var ErrClosed = errors.New("endpoint is closed")

// Listen serves handler on address, which has the form IP:port. Port 0 selects
// a free port.
func Listen(address string, handler http.Handler) (*Endpoint, error) {
	reservation, err := reserve(address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{handler: handler, address: reservation.address, reservation: reservation, suspension: &Suspension{}}
	if err := e.Up(); err != nil {
		reservation.release()
		return nil, err
	}
	return e, nil
}

// Address returns the address as IP:port.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// URL returns the base URL.
func (e *Endpoint) URL() string { return "http://" + e.Address() }

// Up listens again after Down. It has no effect while the endpoint listens.
// After Close it returns an error that wraps ErrClosed.
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
	e.listener.Suspension = e.suspension
	go serve(e.server, e.listener)
	return nil
}

func serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("stand-in on %s: %v", l.Addr(), err))
	}
}

// Down refuses new connections and closes the open ones. The port stays
// reserved until Close.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	// Server.Close does not close the listener if Serve has not started yet.
	_ = e.listener.Close()
	e.server = nil
}

// Close stops the endpoint permanently and frees its port.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Down()
	e.reservation.release()
}

// SilenceConns stops all traffic on the connections that are open now and leaves
// them open. Connections accepted later are not affected.
func (e *Endpoint) SilenceConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.SilenceConns()
}
