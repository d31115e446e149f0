package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("absences", func() {
	now := time.Unix(1_700_000_000, 0)
	hosts := []fleet.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	all := map[tables.HostID]bool{"a": true, "b": true, "c": true}

	It("name a host that has been detached for long, and no other", func() {
		var a absences
		_, gone := a.update(now, hosts, map[tables.HostID]bool{"a": true})
		Expect(gone).To(BeFalse())
		_, gone = a.update(now.Add(goneAfter/2), hosts, map[tables.HostID]bool{"a": true, "b": true})
		Expect(gone).To(BeFalse())
		id, gone := a.update(now.Add(goneAfter), hosts, map[tables.HostID]bool{"a": true})
		Expect(gone).To(BeTrue())
		Expect(id).To(Equal(tables.HostID("c")), "the other one was attached meanwhile")
	})

	It("begin anew once a host has attached", func() {
		var a absences
		a.update(now, hosts, nil)
		a.update(now.Add(goneAfter-time.Second), hosts, all)
		_, gone := a.update(now.Add(goneAfter), hosts, nil)
		Expect(gone).To(BeFalse())
	})
})
