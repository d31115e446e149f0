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
	cluster *cluster
	self    tables.Host
	m       *members.Members
	cancel  func()
	leaving bool
}

// cluster is a host list and the processes that use it, in virtual time.
type cluster struct {
	list *hostlist.List

	mu    sync.Mutex
	nodes map[string]*node
	// blocked holds the directions in which messages are dropped, as "from>to".
	blocked map[string]bool
	bytes   int
	calls   int
}

// Call delivers a message to another node. In a blocked direction it blocks until
// ctx ends.
func (n *node) Call(ctx context.Context, address, _ string, params, result any) error {
	n.cluster.mu.Lock()
	to := n.cluster.nodes[address]
	isBlocked := n.cluster.blocked[string(n.self.ID)+">"+address]
	n.cluster.mu.Unlock()
	if isBlocked {
		<-ctx.Done()
		return ctx.Err()
	}
	if to == nil {
		return errors.New("connection refused")
	}
	response := to.m.Handle(params.(peer.Heartbeat))
	*result.(*peer.Heartbeat) = response
	sent, _ := json.Marshal(params)
	received, _ := json.Marshal(response)
	n.cluster.mu.Lock()
	n.cluster.bytes += len(sent) + len(received)
	n.cluster.calls++
	n.cluster.mu.Unlock()
	return nil
}

// start adds a node in failure domain "d<domain>" and runs it. It does not add
// the node to the host list.
func (c *cluster) start(id string, domain int, seeds ...string) *node {
	self := tables.Host{ID: tables.HostID(id), Domain: tables.DomainID(fmt.Sprint("d", domain)), PeerAddress: id, Listed: tables.HostLive}
	n := &node{cluster: c, self: self}
	n.m = members.New(members.Options{Self: self, List: c.list, Caller: n, Seeds: seeds, Heartbeat: func() peer.Heartbeat {
		c.mu.Lock()
		defer c.mu.Unlock()
		return peer.Heartbeat{Leaving: n.leaving, ConfigVersion: 3}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	go func() { _ = n.m.Run(ctx) }()
	return n
}

func (c *cluster) kill(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id].cancel()
	delete(c.nodes, id)
}

func (c *cluster) block(from, to string, isBlocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[from+">"+to] = isBlocked
}

// inCluster runs a spec in virtual time with hosts h0, h1, ..., assigned to the
// failure domains round-robin.
func inCluster(hosts, domains int, spec func(c *cluster)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			c := &cluster{list: hostlist.New(clockwork.NewRealClock(), 0), nodes: map[string]*node{}, blocked: map[string]bool{}}
			for i := range hosts {
				c.list.PutHost(c.start(fmt.Sprint("h", i), i%domains).self)
			}
			defer time.Sleep(time.Minute)
			defer func() {
				for _, n := range c.nodes {
					n.cancel()
				}
			}()
			time.Sleep(30 * time.Second)
			spec(c)
		})
	}
}

// states returns the state of a host in the table of each node.
func (c *cluster) states(id tables.HostID) map[string]membership.State {
	out := map[string]membership.State{}
	for name, n := range c.nodes {
		out[name] = n.m.State(id)
	}
	return out
}

// expectAgreement checks that all nodes agree on the owners of targets, and that
// no host in lost owns a target or is the home of a claim shard.
func (c *cluster) expectAgreement(lost ...tables.HostID) {
	for i := range 40 {
		id, domain := tables.TargetID(fmt.Sprint("t", i)), tables.DomainID(fmt.Sprint("d", i%4))
		owners := map[tables.HostID]bool{}
		for _, n := range c.nodes {
			owners[n.m.Owner(id, domain)] = true
			Expect(n.m.ClaimHome(i)).NotTo(BeElementOf(lost))
		}
		Expect(owners).To(HaveLen(1), string(id))
		for _, h := range lost {
			Expect(owners).NotTo(HaveKey(h))
		}
	}
}

var _ = Describe("Members", func() {
	It("marks a crashed host as down within 10 s, reassigns its targets consistently, and readmits it", inCluster(13, 4, func(c *cluster) {
		c.expectAgreement()
		c.kill("h3")
		time.Sleep(10 * time.Second)
		Expect(c.states("h3")).To(HaveEach(membership.Down))
		c.expectAgreement("h3")
		c.start("h3", 3)
		time.Sleep(10 * time.Second)
		Expect(c.states("h3")).To(HaveEach(membership.Live))
		c.expectAgreement()
	}))
	It("marks a crashed host as down within 10 s among 200 hosts", inCluster(200, 8, func(c *cluster) {
		c.kill("h3")
		time.Sleep(10 * time.Second)
		Expect(c.states("h3")).To(HaveEach(membership.Down))
	}))
	It("marks the hosts of an unreachable failure domain as down within 20 s and readmits them afterwards", inCluster(13, 4, func(c *cluster) {
		lost := []string{"h1", "h5", "h9"}
		partition := func(isBlocked bool) {
			for _, l := range lost {
				for id := range c.nodes {
					if id != "h1" && id != "h5" && id != "h9" {
						c.block(l, id, isBlocked)
						c.block(id, l, isBlocked)
					}
				}
			}
		}
		partition(true)
		time.Sleep(20 * time.Second)
		for id, n := range c.nodes {
			if id != "h1" && id != "h5" && id != "h9" {
				Expect(n.m.Live()).To(HaveLen(10), id)
			}
		}
		partition(false)
		time.Sleep(30 * time.Second)
		for id := range c.nodes {
			Expect(c.states(tables.HostID(id))).To(HaveEach(membership.Live), id)
		}
		c.expectAgreement()
	}))
	It("keeps a host live for all others when one host cannot reach it", inCluster(13, 4, func(c *cluster) {
		c.block("h2", "h7", true)
		for range 60 {
			time.Sleep(time.Second)
			states := c.states("h7")
			delete(states, "h2")
			Expect(states).To(HaveEach(membership.Live))
		}
	}))
	It("marks a target as leaving on all nodes within 2 s of the host list", inCluster(13, 4, func(c *cluster) {
		c.list.MarkTarget("t1", tables.HostLeaving)
		time.Sleep(2 * time.Second)
		for id, n := range c.nodes {
			Expect(n.m.TargetState("t1")).To(Equal(tables.HostLeaving), id)
		}
	}))
	It("propagates a leaving announcement to all nodes within about 5 s", inCluster(13, 4, func(c *cluster) {
		c.mu.Lock()
		n := c.nodes["h4"]
		n.leaving = true
		c.mu.Unlock()
		n.m.Announce()
		time.Sleep(200 * time.Millisecond)
		informed := 0
		for _, state := range c.states("h4") {
			if state == membership.Leaving {
				informed++
			}
		}
		Expect(informed).To(BeNumerically(">", 8), "itself and eight peers")
		time.Sleep(5 * time.Second)
		Expect(c.states("h4")).To(HaveEach(membership.Leaving))
		c.expectAgreement("h4")
	}))
	It("keeps the last listing during an outage of the host list", inCluster(5, 2, func(c *cluster) {
		c.list.MarkTarget("t1", tables.HostLeaving)
		time.Sleep(2 * time.Second)
		c.list.SetDown(true)
		time.Sleep(10 * time.Minute)
		for _, n := range c.nodes {
			Expect(n.m.Live()).To(HaveLen(5))
			Expect(n.m.TargetState("t1")).To(Equal(tables.HostLeaving))
		}
	}))
	It("learns the hosts from a seed while the host list is down, and has no owners without a seed", inCluster(5, 2, func(c *cluster) {
		c.list.SetDown(true)
		withoutSeed := c.start("h8", 0)
		withSeed := c.start("h9", 0, "h1")
		time.Sleep(20 * time.Second)
		Expect(withoutSeed.m.Ready()).To(BeFalse())
		Expect(withoutSeed.m.Owner("t", "d0")).To(BeEmpty())
		Expect(withSeed.m.Ready()).To(BeTrue())
		Expect(withSeed.m.Live()).To(HaveLen(5), "an unlisted host owns nothing")
	}))
	It("assigns nothing to a listed host that has never responded", inCluster(5, 1, func(c *cluster) {
		c.list.PutHost(tables.Host{ID: "unresponsive", Domain: "d0", PeerAddress: "unresponsive", Listed: tables.HostLive})
		time.Sleep(20 * time.Second)
		Expect(c.states("unresponsive")).To(HaveEach(membership.Down))
		c.expectAgreement("unresponsive")
	}))
	It("records the configuration versions of other hosts", inCluster(3, 1, func(c *cluster) {
		Expect(c.nodes["h0"].m.Hosts()).To(ContainElement(HaveField("ConfigVersion", BeEquivalentTo(3))))
	}))
})
