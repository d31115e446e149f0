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

// ProcessOptions describe a Process.
type ProcessOptions struct {
	// Name appears in errors.
	Name  string
	Clock clockwork.Clock
	// Handler serves the calls.
	Handler http.Handler
	// RestartAfter is the time from a crash to the restart; zero means that the
	// process stays down until Restart.
	RestartAfter time.Duration
	// Forget drops what the process keeps in memory. It is called in each crash,
	// before the connections are cut.
	Forget func()
}

// Process is the life of a stand-in for a target: it listens, crashes and
// restarts. Its methods may be called concurrently.
type Process struct {
	opts        ProcessOptions
	down        atomic.Bool
	incarnation atomic.Int64

	mu       sync.Mutex
	endpoint *Endpoint
}

// NewProcess returns a process that has no address yet.
func NewProcess(opts ProcessOptions) *Process {
	return &Process{opts: opts}
}

// Listen serves the process on address and returns host:port; port 0 takes a
// free port.
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

// Close stops listening and cuts all connections.
func (p *Process) Close() {
	if ep := p.listening(); ep != nil {
		ep.Close()
	}
}

func (p *Process) listening() *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// Incarnation grows with every crash.
func (p *Process) Incarnation() int64 { return p.incarnation.Load() }

// Crash ends the process: connections are cut and refused, and everything in
// memory is lost. It does nothing while the process is down.
func (p *Process) Crash() {
	if !p.down.CompareAndSwap(false, true) {
		return
	}
	p.incarnation.Add(1)
	p.opts.Forget()
	if ep := p.listening(); ep != nil {
		ep.Down()
	}
	if p.opts.RestartAfter > 0 {
		p.opts.Clock.AfterFunc(p.opts.RestartAfter, p.restartBySelf)
	}
}

func (p *Process) restartBySelf() {
	if err := p.Restart(); err != nil && !errors.Is(err, ErrClosed) {
		panic(err.Error())
	}
}

// Restart starts the process again at the same address, with empty memory. It
// does nothing while the process is up.
func (p *Process) Restart() error {
	wasDown := p.down.CompareAndSwap(true, false)
	ep := p.listening()
	if !wasDown || ep == nil {
		return nil
	}
	return ep.Up()
}

// GoSilent makes every connection that is open now deliver nothing more, while
// it stays open; new connections work. It needs Listen.
func (p *Process) GoSilent() {
	if ep := p.listening(); ep != nil {
		ep.Silence()
	}
}
