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

// recordingLog records which streams a host reads.
type recordingLog struct {
	ports.Log
	mu    sync.Mutex
	reads map[string]bool
	// failShared makes reads of the shared stream fail.
	failShared bool
}

func (l *recordingLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	l.mu.Lock()
	l.reads[stream] = true
	fail := l.failShared && stream == ports.SharedLeaseStream
	l.mu.Unlock()
	if fail {
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	return l.Log.Read(ctx, stream, from, wait)
}

func (l *recordingLog) failSharedReads(fail bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failShared = fail
}

// takeReads returns the streams that were read since the last call.
func (l *recordingLog) takeReads() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name := range l.reads {
		out = append(out, name)
	}
	l.reads = map[string]bool{}
	return out
}

// runInDomains runs a spec with the named engines and with one host per letter of
// domainLetters. The letter is the host's failure domain, and the hosts are named
// h0, h1 and so on.
func runInDomains(engineNames []string, domainLetters string, spec func(cl *cluster, logs []*recordingLog)) {
	var logs []*recordingLog
	newHosts := func(cl *cluster) []*host {
		var out []*host
		for i, domain := range strings.Split(domainLetters, "") {
			h := &host{cluster: cl, self: tables.Host{ID: tables.HostID(fmt.Sprint("h", i)), Domain: tables.DomainID(domain)}}
			l := &recordingLog{Log: h, reads: map[string]bool{}}
			h.log = l
			out, logs = append(out, h), append(logs, l)
		}
		return out
	}
	testingT.Run(domainLetters, func(t *testing.T) {
		runInVirtualTime(t, 1, engineNames, newHosts, func(cl *cluster) { spec(cl, logs) })
	})
}

var _ = Describe("Streams", func() {
	It("are read only by hosts of the failure domain, and by others if it has too few live hosts", func() {
		runInDomains([]string{"a1x", "b1"}, "aaaabbbb", func(cl *cluster, logs []*recordingLog) {
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
			for i, l := range logs {
				read, own := l.takeReads(), ports.DomainLeaseStreamPrefix+string(cl.hosts[i].self.Domain)
				if len(cl.hosts[i].heldLeases()) > 0 {
					Expect(read).To(ConsistOf(own, ports.SharedLeaseStream))
				} else {
					Expect(read).To(ConsistOf(own))
				}
			}
			before, _ := cl.engines["b1"].orders()
			lost := cl.hosts[4:]
			cl.setLive(cl.hosts[:4])
			for _, h := range lost {
				h.stop()
			}
			time.Sleep(2 * time.Minute)
			Expect(cl.holder("orders/b").self.Domain).To(BeEquivalentTo("a"))
			after, _ := cl.engines["b1"].orders()
			Expect(after.Fence).To(BeNumerically(">", before.Fence))
		})
	})
	It("of a failure domain without live hosts are read by four other hosts", func() {
		runInDomains([]string{"a1x", "b1"}, "aaaaaaaaaa", func(cl *cluster, logs []*recordingLog) {
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
			readers := 0
			for _, l := range logs {
				if slices.Contains(l.takeReads(), ports.DomainLeaseStreamPrefix+"b") {
					readers++
				}
			}
			Expect(readers).To(Equal(4))
		})
	})
	It("have fencing numbers above those of the single stream of earlier versions", func() {
		runInDomains([]string{"a1x"}, "a", func(cl *cluster, _ []*recordingLog) {
			cl.hosts[0].stop()
			e := cl.engines["a1x"]
			Expect(e.Apply(context.Background(), target.Order{Fence: 1_000_000_000, Version: "old"})).To(Succeed())
			cl.hosts[0].start()
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
			order, _ := e.orders()
			Expect(order.Fence).To(BeNumerically(">=", int64(lease.MinDomainFence)))
		})
	})
	It("cause no orders until the shared stream has been read to its end", func() {
		runInDomains([]string{"a1"}, "a", func(cl *cluster, logs []*recordingLog) {
			cl.hosts[0].stop()
			cl.publish()
			logs[0].failSharedReads(true)
			cl.hosts[0].start()
			time.Sleep(2 * time.Minute)
			Expect(cl.hosts[0].heldLeases()).To(ConsistOf("orders/a"))
			_, accepted := cl.engines["a1"].orders()
			Expect(accepted).To(BeEmpty())
			logs[0].failSharedReads(false)
			time.Sleep(time.Minute)
			cl.expectConverged()
		})
	})
})
