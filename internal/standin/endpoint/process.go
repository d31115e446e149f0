package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ProcessOptions configures a Process.
type ProcessOptions struct {
	// Name identifies the process in error messages.
	Name  string
	Clock clockwork.Clock
	// Handler serves the HTTP requests.
	Handler http.Handler
	// RestartAfter is the time from a crash to the restart; if zero, the
	// process stays down until Restart.
	RestartAfter time.Duration
	// OnCrash must clear the in-memory state of the process. Crash calls it before
	// the connections are closed.
	OnCrash func()
}

// Process simulates the process of a target: it listens on an address, crashes
// and restarts. Its methods may be called concurrently.
type Process struct {
	opts        ProcessOptions
	down        atomic.Bool
	incarnation atomic.Int64

	mu       sync.Mutex
	endpoint *Endpoint
}

// NewProcess returns a process that does not listen yet.
func NewProcess(opts ProcessOptions) *Process {
	return &Process{opts: opts}
}

// Listen serves the process on address and returns the address in use. Both
// have the form IP:port; port 0 selects a free port.
func (p *Process) Listen(address string) (string, error) {
	ep, err := Listen(address, http.HandlerFunc(p.serve))
	if err != nil {
		return "", fmt.Errorf("%s: %w", p.opts.Name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoint = ep
	return ep.Address(), nil
}

func (p *Process) serve(w http.ResponseWriter, r *http.Request) {
	if p.down.Load() {
		panic(http.ErrAbortHandler)
	}
	p.opts.Handler.ServeHTTP(w, r)
}

// Close stops listening and closes all connections.
func (p *Process) Close() {
	if ep := p.currentEndpoint(); ep != nil {
		ep.Close()
	}
}

// currentEndpoint returns the endpoint, or nil before Listen.
func (p *Process) currentEndpoint() *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// Incarnation returns the number of crashes so far.
func (p *Process) Incarnation() int64 { return p.incarnation.Load() }

// Crash simulates the death of the process: its in-memory state is lost, open
// connections are closed and new ones are refused. It has no effect while the
// process is down.
func (p *Process) Crash() {
	if !p.down.CompareAndSwap(false, true) {
		return
	}
	p.incarnation.Add(1)
	p.opts.OnCrash()
	if ep := p.currentEndpoint(); ep != nil {
		ep.Down()
	}
	if p.opts.RestartAfter > 0 {
		p.opts.Clock.AfterFunc(p.opts.RestartAfter, p.restartAutomatically)
	}
}

func (p *Process) restartAutomatically() {
	if err := p.Restart(); err != nil && !errors.Is(err, ErrClosed) {
		panic(err.Error())
	}
}

// Restart starts a crashed process again at the same address. It has no effect
// while the process is up.
func (p *Process) Restart() error {
	wasDown := p.down.CompareAndSwap(true, false)
	ep := p.currentEndpoint()
	if !wasDown || ep == nil {
		return nil
	}
	return ep.Up()
}

// SilenceConns stops all traffic on the connections that are open now and leaves
// them open. Connections accepted later are not affected. It has no effect
// before Listen.
func (p *Process) SilenceConns() {
	if ep := p.currentEndpoint(); ep != nil {
		ep.SilenceConns()
	}
}

// Suspend stops the process for d, as if it did not run, after which it goes on with
// all its state. Meanwhile connections stay open and new ones are made, but nothing
// is read or written. It has no effect before Listen.
func (p *Process) Suspend(d time.Duration) {
	if ep := p.currentEndpoint(); ep != nil {
		ep.suspension.Begin()
		p.opts.Clock.AfterFunc(d, ep.suspension.End)
	}
}

// AwaitSuspension blocks while the process is suspended.
func (p *Process) AwaitSuspension() {
	if ep := p.currentEndpoint(); ep != nil {
		ep.suspension.Await(nil)
	}
}
