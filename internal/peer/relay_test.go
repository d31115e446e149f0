package peer_test

import (
	"net"
	"sync"
	"time"
)

// pingStep is the interval between probes of a connection.
const pingStep = 2 * time.Second

const (
	// callStep is shorter than the delay of a connection's first probe.
	callStep = 300 * time.Millisecond
	// idleTime is how long an unused connection stays open.
	idleTime = 60 * time.Second
)

// relay is a TCP proxy that can drop all bytes while its sockets stay open.
type relay struct {
	mu     sync.Mutex
	frozen bool
	// opened is the number of accepted connections. They are numbered from 1; those
	// whose number is at most silenced drop all bytes permanently.
	opened, silenced int
}

func newRelay(l net.Listener, backend string) *relay {
	r := &relay{}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", backend)
			if err != nil {
				return
			}
			r.mu.Lock()
			r.opened++
			number := r.opened
			r.mu.Unlock()
			go r.copy(in, out, number)
			go r.copy(out, in, number)
		}
	}()
	return r
}

func (r *relay) copy(dst, src net.Conn, number int) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := r.frozen || number <= r.silenced
		r.mu.Unlock()
		if !drop {
			_, _ = dst.Write(buf[:n])
		}
	}
}

// silence permanently drops all bytes of the connections accepted so far. Later
// connections are not affected.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = r.opened
}

func (r *relay) freeze() { r.set(true) }
func (r *relay) thaw()   { r.set(false) }

func (r *relay) set(frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = frozen
}
