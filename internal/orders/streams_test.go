package orders_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// readLog notes the streams that a host reads.
type readLog struct {
	ports.Log
	mu    sync.Mutex
	reads map[string]bool
	// shared fails reads of the shared stream while it is set.
	shared bool
}

func (l *readLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	l.mu.Lock()
	l.reads[stream] = true
	cut := l.shared && stream == ports.LeaseStream
	l.mu.Unlock()
	if cut {
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	return l.Log.Read(ctx, stream, from, wait)
}

func (l *readLog) set(shared bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared = shared
}

// streams returns what was read since the last call.
func (l *readLog) streams() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name := range l.reads {
		out = append(out, name)
	}
	l.reads = map[string]bool{}
	return out
}

// inDomains runs a spec with hosts h0, h1... of the failure domains that are
// named by a letter each.
func inDomains(names []string, domains string, spec func(w *world, logs []*readLog)) {
	var logs []*readLog
	hosts := func(w *world) []*host {
		var out []*host
		for i, domain := range strings.Split(domains, "") {
			h := &host{w: w, self: tables.Host{ID: tables.HostID(fmt.Sprint("h", i)), Domain: tables.DomainID(domain)}}
			l := &readLog{Log: h, reads: map[string]bool{}}
			h.log = l
			out, logs = append(out, h), append(logs, l)
		}
		return out
	}
	suite.Run(domains, func(t *testing.T) {
		inBubble(t, 1, names, hosts, func(w *world) { spec(w, logs) })
	})
}

var _ = Describe("Streams", func() {
	It("are read by the hosts of a failure domain, and by others while it has few", func() {
		inDomains([]string{"a1x", "b1"}, "aaaabbbb", func(w *world, logs []*readLog) {
			time.Sleep(2 * time.Minute)
			w.settled()
			for i, l := range logs {
				read, own := l.streams(), ports.LeaseStreamPrefix+string(w.hosts[i].self.Domain)
				if len(w.hosts[i].holds()) > 0 {
					Expect(read).To(ConsistOf(own, ports.LeaseStream))
				} else {
					Expect(read).To(ConsistOf(own))
				}
			}
			before, _ := w.engines["b1"].read()
			lost := w.hosts[4:]
			w.setLive(w.hosts[:4])
			for _, h := range lost {
				h.end()
			}
			time.Sleep(2 * time.Minute)
			Expect(w.holder("orders/b").self.Domain).To(BeEquivalentTo("a"))
			after, _ := w.engines["b1"].read()
			Expect(after.Fence).To(BeNumerically(">", before.Fence))
		})
	})
	It("of a lost failure domain are read by few of the others", func() {
		inDomains([]string{"a1x", "b1"}, "aaaaaaaaaa", func(w *world, logs []*readLog) {
			time.Sleep(2 * time.Minute)
			w.settled()
			readers := 0
			for _, l := range logs {
				if slices.Contains(l.streams(), ports.LeaseStreamPrefix+"b") {
					readers++
				}
			}
			Expect(readers).To(Equal(4))
		})
	})
	It("carry fences above those of the one stream before", func() {
		inDomains([]string{"a1x"}, "a", func(w *world, _ []*readLog) {
			w.hosts[0].end()
			e := w.engines["a1x"]
			Expect(e.Apply(context.Background(), target.Order{Fence: 1_000_000_000, Version: "old"})).To(Succeed())
			w.hosts[0].start()
			time.Sleep(2 * time.Minute)
			w.settled()
			order, _ := e.read()
			Expect(order.Fence).To(BeNumerically(">=", int64(lease.MinDomainFence)))
		})
	})
	It("hold orders back until the shared stream was read to its end", func() {
		inDomains([]string{"a1"}, "a", func(w *world, logs []*readLog) {
			w.hosts[0].end()
			w.publish()
			logs[0].set(true)
			w.hosts[0].start()
			time.Sleep(2 * time.Minute)
			Expect(w.hosts[0].holds()).To(ConsistOf("orders/a"))
			_, taken := w.engines["a1"].read()
			Expect(taken).To(BeEmpty())
			logs[0].set(false)
			time.Sleep(time.Minute)
			w.settled()
		})
	})
})
