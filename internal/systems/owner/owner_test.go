package owner_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "owner")
}

func hosts(n, domains int) []tables.Host {
	var out []tables.Host
	for i := range n {
		out = append(out, tables.Host{ID: tables.HostID(fmt.Sprint("h", i)), Domain: tables.DomainID(fmt.Sprint("d", i%domains))})
	}
	return out
}

var _ = Describe("Of", func() {
	It("stays in the failure domain while one of its hosts lives", func() {
		live := hosts(13, 4)
		for i := range 100 {
			id := tables.TargetID(fmt.Sprint("t", i))
			Expect(owner.Of(id, "d1", live)).To(BeElementOf(tables.HostID("h1"), tables.HostID("h5"), tables.HostID("h9")))
			Expect(owner.Of(id, "elsewhere", live)).NotTo(BeEmpty())
		}
		Expect(owner.Of("t", "d1", nil)).To(BeEmpty())
	})
	It("moves only what the lost host owned, and spreads it", func() {
		live := hosts(12, 1)
		moved := map[tables.HostID]int{}
		for i := range 6000 {
			id := tables.TargetID(fmt.Sprint("t", i))
			before, after := owner.Of(id, "d0", live), owner.Of(id, "d0", live[1:])
			if before != "h0" {
				Expect(after).To(Equal(before))
				continue
			}
			moved[after]++
		}
		Expect(moved).To(HaveLen(11))
		for id, n := range moved {
			Expect(n).To(BeNumerically("~", 6000/12/11, 30), string(id))
		}
	})
	It("gives each claim shard one home that depends on no order of hosts", func() {
		live := hosts(13, 4)
		homes := map[tables.HostID]int{}
		for shard := range 64 {
			home := owner.Shard(shard, live)
			homes[home]++
			live = append(live[1:], live[0])
			Expect(owner.Shard(shard, live)).To(Equal(home))
		}
		Expect(len(homes)).To(BeNumerically(">=", 10))
	})
})
