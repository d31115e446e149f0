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

// site is a few hosts whose peers are called directly.
type site struct {
	log     *logstore.Store
	hosts   map[string]*quarantine.Quarantine
	cancels []func()

	mu  sync.Mutex
	cut bool
}

func (s *site) Call(ctx context.Context, address, _ string, params, result any) error {
	s.mu.Lock()
	h, cut := s.hosts[address], s.cut
	s.mu.Unlock()
	if h == nil || cut {
		return fmt.Errorf("host %q is out of reach", address)
	}
	answer, err := h.Share(ctx, params.(peer.Share))
	*result.(*peer.Share) = answer
	return err
}

func (s *site) start(name string, peers ...string) *quarantine.Quarantine {
	q := quarantine.New(quarantine.Options{Log: s.log, Caller: s, Peers: func() []string { return peers }})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels = append(s.cancels, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[name] = q
	go func() { _ = q.Run(ctx) }()
	return q
}

func (s *site) cutPeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
}

// inSite runs a spec in virtual time.
func inSite(spec func(s *site)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			s := &site{
				log:   logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: time.Hour}),
				hosts: make(map[string]*quarantine.Quarantine),
			}
			defer GinkgoRecover()
			defer func() {
				for _, cancel := range s.cancels {
					cancel()
				}
			}()
			spec(s)
		})
	}
}

var poison = []dispatcher.Suspect{{Fingerprint: 7, Customer: "c", Service: "s"}}

func refused(q *quarantine.Quarantine) bool {
	r, _ := q.Check(7)
	return r
}

var _ = Describe("Quarantine", func() {
	It("adds up crashes that different hosts saw while the log is down", inSite(func(s *site) {
		a, b := s.start("a", "b"), s.start("b", "a")
		s.log.SetDown(true)
		a.Crashed("t1", poison)
		b.Crashed("t2", poison)
		synctest.Wait()
		Expect(refused(a)).To(BeTrue())
		Expect(refused(b)).To(BeTrue())
		Expect(s.log.Appends()).To(BeZero())
		s.log.SetDown(false)
		time.Sleep(5 * time.Second)
		Expect(s.log.Appends()).To(Equal(2))
		c := s.start("c")
		time.Sleep(time.Second)
		Expect(refused(c)).To(BeTrue(), "a new host reads the log")
	}))
	It("spreads through the log while peers are out of reach", inSite(func(s *site) {
		a, b := s.start("a", "b"), s.start("b", "a")
		s.cutPeers()
		s.log.LoseAnswers(1)
		a.Crashed("t1", poison)
		a.Crashed("t2", poison)
		time.Sleep(5 * time.Second)
		Expect(refused(b)).To(BeTrue())
	}))
	It("catches up with a peer without the log", inSite(func(s *site) {
		s.log.SetDown(true)
		a := s.start("a")
		a.Crashed("t1", poison)
		a.Crashed("t2", poison)
		b := s.start("b", "a")
		time.Sleep(time.Second)
		Expect(refused(b)).To(BeTrue())
	}))
	It("lifts an entry everywhere when an operator releases it", inSite(func(s *site) {
		a, b := s.start("a", "b"), s.start("b", "a")
		a.Crashed("t1", poison)
		a.Crashed("t2", poison)
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
	It("expires", inSite(func(s *site) {
		a := s.start("a")
		a.Crashed("t1", poison)
		a.Crashed("t2", poison)
		time.Sleep(quarantine.DefaultQuarantineFor + time.Minute)
		Expect(refused(a)).To(BeFalse())
	}))
})
