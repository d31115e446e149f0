package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func view(target string, owner string) route.View {
	return route.View{Target: tables.TargetID(target), Owner: tables.HostID(owner), Summary: tables.TargetSummary{Free: 4},
		Speed: tables.Speed{PrefillTokensPerSecond: 5000, Step: 10 * time.Millisecond, StepPerSequence: time.Millisecond}}
}

func request() route.Request {
	return route.Request{ID: "h.1", PromptTokens: 4000, PredictedTokens: 200, Due: now.Add(time.Minute)}
}

var _ = Describe("Pick", func() {
	It("returns every owner and every target exactly once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(0, 40).Draw(t, "n")
			var views []route.View
			for i := range n {
				v := view(fmt.Sprintf("e%d", i), fmt.Sprintf("h%d", rapid.IntRange(0, 12).Draw(t, "owner")))
				v.Summary.Free = rapid.IntRange(-5, 5).Draw(t, "free")
				v.Summary.Straggler = rapid.Bool().Draw(t, "straggler")
				v.Sent = rapid.IntRange(0, 9).Draw(t, "sent")
				views = append(views, v)
			}
			owners, targets := map[tables.HostID]bool{}, map[tables.TargetID]bool{}
			for _, c := range route.Pick(now, request(), views) {
				if owners[c.Owner] {
					t.Fatalf("owner %s is returned twice", c.Owner)
				}
				owners[c.Owner] = true
				for _, id := range c.Targets {
					targets[id] = true
				}
			}
			if len(targets) != n {
				t.Fatalf("%d of %d targets are returned", len(targets), n)
			}
		})
	})
	It("avoids stragglers, full targets and targets it has just sent requests to", func() {
		slow, full, sent, free := view("slow", "h1"), view("full", "h2"), view("sent", "h3"), view("free", "h4")
		slow.Summary.Straggler = true
		full.Summary.Free, full.Summary.RunningByTier = 0, []int{20}
		sent.Sent = 12
		got := route.Pick(now, request(), []route.View{slow, full, sent, free})
		Expect(got[0].Owner).To(BeEquivalentTo("h4"))
		Expect(got[3].Owner).To(BeEquivalentTo("h1"))
	})
	It("prefers the target that has the shared prefix cached", func() {
		r := request()
		for i := range 250 {
			r.PrefixHashes = append(r.PrefixHashes, uint64(i)*0x9E3779B97F4A7C15+1)
		}
		views := []route.View{view("e1", "h1"), view("e2", "h2"), view("e3", "h3")}
		views[1].Summary.CachedPrefixes = []uint32{uint32(r.PrefixHashes[199])}
		views[1].Summary.RunningByTier, views[1].Summary.Free = []int{3}, 1
		Expect(route.Pick(now, r, views)[0].Owner).To(BeEquivalentTo("h2"))
	})
	It("places an uncached shared prefix on the same target from every gate", func() {
		r := request()
		r.SharedPrefix, r.SharedTokens = 77, 3000
		var views []route.View
		for i := range 10 {
			views = append(views, view(fmt.Sprintf("e%d", i), fmt.Sprintf("h%d", i)))
		}
		first := route.Pick(now, r, views)[0].Owner
		for i := range 20 {
			other := r
			other.ID = tables.RequestID(fmt.Sprintf("h%d.x", i))
			reversed := make([]route.View, len(views))
			for j := range views {
				reversed[j] = views[len(views)-1-j]
			}
			Expect(route.Pick(now, other, reversed)[0].Owner).To(Equal(first))
		}
	})
})

var _ = Describe("FilterLoaded", func() {
	It("keeps the targets with the model loaded, or all if there is none", func() {
		without, with := view("e1", "h1"), view("e2", "h1")
		without.Summary.Unloaded = []tables.ServiceID{"s"}
		Expect(route.FilterLoaded("s", []route.View{without, with})).To(Equal([]route.View{with}))
		Expect(route.FilterLoaded("t", []route.View{without, with})).To(Equal([]route.View{without, with}))
		Expect(route.FilterLoaded("s", []route.View{without})).To(Equal([]route.View{without}))
	})
})
