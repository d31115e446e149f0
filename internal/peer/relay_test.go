package peer_test

import (
	"net"
	"sync"
	"time"
)

// pingStep moves the fake clock past one probe interval.
const pingStep = 2 * time.Second

const (
	// callStep is shorter than the time to the first probe of a connection.
	callStep = 300 * time.Millisecond
	// idleTime is how long an unused connection stays open.
	idleTime = 60 * time.Second
)

// relay forwards bytes between a listener and a server and can stop doing so
// while all sockets stay open.
type relay struct {
	mu     sync.Mutex
	frozen bool
	// opened counts the connections; those up to silenced are frozen for good.
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

// silence freezes the connections that are open now, and no later one.
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
