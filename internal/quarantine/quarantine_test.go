package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/quarantine"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
)

var suite *testing.T

func TestQuarantine(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// cluster is a set of hosts that call each other directly.
type cluster struct {
	log     *logstore.Store
	hosts   map[string]*quarantine.Quarantine
	cancels []func()

	mu          sync.Mutex
	partitioned bool
}

func (cl *cluster) Call(ctx context.Context, address, _ string, params, result any) error {
	cl.mu.Lock()
	h, partitioned := cl.hosts[address], cl.partitioned
	cl.mu.Unlock()
	if h == nil || partitioned {
		return fmt.Errorf("host %q is unreachable", address)
	}
	reply, err := h.Share(ctx, params.(peer.Share))
	*result.(*peer.Share) = reply
	return err
}

func (cl *cluster) start(name string, peers ...string) *quarantine.Quarantine {
	q := quarantine.New(quarantine.Options{Log: cl.log, Caller: cl, Peers: func() []string { return peers }})
	ctx, cancel := context.WithCancel(context.Background())
	cl.cancels = append(cl.cancels, cancel)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[name] = q
	go func() { _ = q.Run(ctx) }()
	return q
}

func (cl *cluster) partition() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.partitioned = true
}

// inCluster runs a spec with a new cluster in virtual time.
func inCluster(spec func(cl *cluster)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			cl := &cluster{
				log:   logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: time.Hour}),
				hosts: make(map[string]*quarantine.Quarantine),
			}
			defer GinkgoRecover()
			defer func() {
				for _, cancel := range cl.cancels {
					cancel()
				}
			}()
			spec(cl)
		})
	}
}

var suspects = []dispatcher.SuspectFingerprint{{Fingerprint: 7, Customer: "c", Service: "s"}}

func refused(q *quarantine.Quarantine) bool {
	r, _ := q.Check(7)
	return r
}

var _ = Describe("Quarantine", func() {
	It("adds up crashes observed by different hosts while the log is down", inCluster(func(cl *cluster) {
		a, b := cl.start("a", "b"), cl.start("b", "a")
		cl.log.SetDown(true)
		a.RecordCrash("t1", suspects)
		b.RecordCrash("t2", suspects)
		synctest.Wait()
		Expect(refused(a)).To(BeTrue())
		Expect(refused(b)).To(BeTrue())
		Expect(cl.log.Appends()).To(BeZero())
		cl.log.SetDown(false)
		time.Sleep(5 * time.Second)
		Expect(cl.log.Appends()).To(Equal(2))
		c := cl.start("c")
		time.Sleep(time.Second)
		Expect(refused(c)).To(BeTrue(), "a new host reads the log")
	}))
	It("spreads through the log while peers are unreachable", inCluster(func(cl *cluster) {
		a, b := cl.start("a", "b"), cl.start("b", "a")
		cl.partition()
		cl.log.LoseAnswers(1)
		a.RecordCrash("t1", suspects)
		a.RecordCrash("t2", suspects)
		time.Sleep(5 * time.Second)
		Expect(refused(b)).To(BeTrue())
	}))
	It("catches up from a peer while the log is down", inCluster(func(cl *cluster) {
		cl.log.SetDown(true)
		a := cl.start("a")
		a.RecordCrash("t1", suspects)
		a.RecordCrash("t2", suspects)
		b := cl.start("b", "a")
		time.Sleep(time.Second)
		Expect(refused(b)).To(BeTrue())
	}))
	It("lifts an entry on all hosts when an operator releases it", inCluster(func(cl *cluster) {
		a, b := cl.start("a", "b"), cl.start("b", "a")
		a.RecordCrash("t1", suspects)
		a.RecordCrash("t2", suspects)
		synctest.Wait()
		Expect(b.List()).To(HaveLen(1))
		time.Sleep(20 * time.Second)
		Expect(b.Release(context.Background(), 7)).To(Succeed())
		synctest.Wait()
		Expect(refused(a)).To(BeFalse())
		time.Sleep(time.Minute)
		Expect(refused(a)).To(BeFalse())
		Expect(a.List()).To(BeEmpty())
	}))
	It("lifts an entry when it expires", inCluster(func(cl *cluster) {
		a := cl.start("a")
		a.RecordCrash("t1", suspects)
		a.RecordCrash("t2", suspects)
		time.Sleep(quarantine.DefaultQuarantineFor + time.Minute)
		Expect(refused(a)).To(BeFalse())
	}))
})
