package members_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var suite *testing.T

func TestMembers(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "members")
}

// node is one process with a membership table.
type node struct {
	w       *world
	self    tables.Host
	m       *members.Members
	cancel  func()
	leaving bool
}

// world is a host list and the processes that use it, in virtual time.
type world struct {
	list *hostlist.List

	mu    sync.Mutex
	nodes map[string]*node
	// cut holds the silent directions, as "from>to".
	cut   map[string]bool
	bytes int
	calls int
}

// Call carries a message between two nodes; a silent direction answers never.
func (n *node) Call(ctx context.Context, address, _ string, params, result any) error {
	n.w.mu.Lock()
	to := n.w.nodes[address]
	silent := n.w.cut[string(n.self.ID)+">"+address]
	n.w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if to == nil {
		return errors.New("connection refused")
	}
	answer := to.m.Handle(params.(peer.Heartbeat))
	*result.(*peer.Heartbeat) = answer
	sent, _ := json.Marshal(params)
	got, _ := json.Marshal(answer)
	n.w.mu.Lock()
	n.w.bytes += len(sent) + len(got)
	n.w.calls++
	n.w.mu.Unlock()
	return nil
}

func (w *world) start(id string, domain int, seeds ...string) *node {
	self := tables.Host{ID: tables.HostID(id), Domain: tables.DomainID(fmt.Sprint("d", domain)), PeerAddress: id, Listed: tables.HostLive}
	n := &node{w: w, self: self}
	n.m = members.New(members.Options{Self: self, List: w.list, Caller: n, Seeds: seeds, Heartbeat: func() peer.Heartbeat {
		w.mu.Lock()
		defer w.mu.Unlock()
		return peer.Heartbeat{Leaving: n.leaving, ConfigVersion: 3}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	go func() { _ = n.m.Run(ctx) }()
	return n
}

func (w *world) kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].cancel()
	delete(w.nodes, id)
}

func (w *world) silence(from, to string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = silent
}

// inWorld runs a spec with hosts h0, h1, ... in failure domains by turns.
func inWorld(hosts, domains int, spec func(w *world)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			w := &world{list: hostlist.New(clockwork.NewRealClock(), 0), nodes: map[string]*node{}, cut: map[string]bool{}}
			for i := range hosts {
				w.list.PutHost(w.start(fmt.Sprint("h", i), i%domains).self)
			}
			defer time.Sleep(time.Minute)
			defer func() {
				for _, n := range w.nodes {
					n.cancel()
				}
			}()
			time.Sleep(30 * time.Second)
			spec(w)
		})
	}
}

// states returns what every node says of a host.
func (w *world) states(id tables.HostID) map[string]membership.State {
	out := map[string]membership.State{}
	for name, n := range w.nodes {
		out[name] = n.m.State(id)
	}
	return out
}

// agree checks that all nodes name the same owners, none of them in gone.
func (w *world) agree(gone ...tables.HostID) {
	for i := range 40 {
		id, domain := tables.TargetID(fmt.Sprint("t", i)), tables.DomainID(fmt.Sprint("d", i%4))
		owners := map[tables.HostID]bool{}
		for _, n := range w.nodes {
			owners[n.m.Owner(id, domain)] = true
			Expect(n.m.ClaimHome(i)).NotTo(BeElementOf(gone))
		}
		Expect(owners).To(HaveLen(1), string(id))
		for _, h := range gone {
			Expect(owners).NotTo(HaveKey(h))
		}
	}
}

var _ = Describe("Members", func() {
	It("finds a dead host in 10 s, gives its targets to one other, and takes it back", inWorld(13, 4, func(w *world) {
		w.agree()
		w.kill("h3")
		time.Sleep(10 * time.Second)
		Expect(w.states("h3")).To(HaveEach(membership.Down))
		w.agree("h3")
		w.start("h3", 3)
		time.Sleep(10 * time.Second)
		Expect(w.states("h3")).To(HaveEach(membership.Live))
		w.agree()
	}))
	It("finds a dead host in 10 s among 200 hosts too", inWorld(200, 8, func(w *world) {
		w.kill("h3")
		time.Sleep(10 * time.Second)
		Expect(w.states("h3")).To(HaveEach(membership.Down))
	}))
	It("finds a lost failure domain in 20 s and takes it back when it returns", inWorld(13, 4, func(w *world) {
		lost := []string{"h1", "h5", "h9"}
		cut := func(silent bool) {
			for _, l := range lost {
				for id := range w.nodes {
					if id != "h1" && id != "h5" && id != "h9" {
						w.silence(l, id, silent)
						w.silence(id, l, silent)
					}
				}
			}
		}
		cut(true)
		time.Sleep(20 * time.Second)
		for id, n := range w.nodes {
			if id != "h1" && id != "h5" && id != "h9" {
				Expect(n.m.Live()).To(HaveLen(10), id)
			}
		}
		cut(false)
		time.Sleep(30 * time.Second)
		for id := range w.nodes {
			Expect(w.states(tables.HostID(id))).To(HaveEach(membership.Live), id)
		}
		w.agree()
	}))
	It("lets one silent direction hold nobody down for the others", inWorld(13, 4, func(w *world) {
		w.silence("h2", "h7", true)
		for range 60 {
			time.Sleep(time.Second)
			states := w.states("h7")
			delete(states, "h2")
			Expect(states).To(HaveEach(membership.Live))
		}
	}))
	It("closes a leaving target everywhere within 2 s of the list", inWorld(13, 4, func(w *world) {
		w.list.MarkTarget("t1", tables.HostLeaving)
		time.Sleep(2 * time.Second)
		for id, n := range w.nodes {
			Expect(n.m.TargetState("t1")).To(Equal(tables.HostLeaving), id)
		}
	}))
	It("spreads a host's word that it is leaving in 5 s", inWorld(13, 4, func(w *world) {
		w.mu.Lock()
		n := w.nodes["h4"]
		n.leaving = true
		w.mu.Unlock()
		n.m.Announce()
		time.Sleep(200 * time.Millisecond)
		told := 0
		for _, state := range w.states("h4") {
			if state == membership.Leaving {
				told++
			}
		}
		Expect(told).To(BeNumerically(">", 8), "itself and eight peers")
		time.Sleep(5 * time.Second)
		Expect(w.states("h4")).To(HaveEach(membership.Leaving))
		w.agree("h4")
	}))
	It("keeps the last listing through an outage of the list", inWorld(5, 2, func(w *world) {
		w.list.MarkTarget("t1", tables.HostLeaving)
		time.Sleep(2 * time.Second)
		w.list.SetDown(true)
		time.Sleep(10 * time.Minute)
		for _, n := range w.nodes {
			Expect(n.m.Live()).To(HaveLen(5))
			Expect(n.m.TargetState("t1")).To(Equal(tables.HostLeaving))
		}
	}))
	It("learns the hosts from a seed while the list is down, and owns nothing before", inWorld(5, 2, func(w *world) {
		w.list.SetDown(true)
		alone := w.start("h8", 0)
		seeded := w.start("h9", 0, "h1")
		time.Sleep(20 * time.Second)
		Expect(alone.m.Ready()).To(BeFalse())
		Expect(alone.m.Owner("t", "d0")).To(BeEmpty())
		Expect(seeded.m.Ready()).To(BeTrue())
		Expect(seeded.m.Live()).To(HaveLen(5), "an unlisted host owns nothing")
	}))
	It("gives nothing to a host that is listed and silent from the start", inWorld(5, 1, func(w *world) {
		w.list.PutHost(tables.Host{ID: "ghost", Domain: "d0", PeerAddress: "ghost", Listed: tables.HostLive})
		time.Sleep(20 * time.Second)
		Expect(w.states("ghost")).To(HaveEach(membership.Down))
		w.agree("ghost")
	}))
	It("fetches configuration from a host that answered with a version", inWorld(3, 1, func(w *world) {
		Expect(w.nodes["h0"].m.Hosts()).To(ContainElement(HaveField("ConfigVersion", BeEquivalentTo(3))))
	}))
})
