package origin_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("A registry", func() {
	const a, b, c = origin.StreamID(1), origin.StreamID(2), origin.StreamID(3)
	var r *origin.Registry
	BeforeEach(func() { r = origin.NewRegistry(time.Second, 3) })
	known := func(ms int, id origin.StreamID) any {
		k := r.Lookup(at(ms), id)
		if !k.Known {
			return nil
		}
		return k.Version
	}
	// batchOf returns a batch with one stream.
	batchOf := func(id origin.StreamID, version tables.SoftwareVersion) origin.Batch {
		other := origin.NewRegistry(time.Second, 3)
		other.Record(at(0), id, version)
		return other.All(at(0))
	}

	It("knows what was recorded, unless another version was recorded as well", func() {
		Expect(known(0, a)).To(BeNil())
		Expect(r.Record(at(0), a, "v1")).To(BeTrue())
		Expect(r.Record(at(0), a, "v1")).To(BeFalse())
		Expect(known(0, a)).To(BeEquivalentTo("v1"))
		Expect(r.Record(at(1), a, "v2")).To(BeTrue())
		Expect(r.Lookup(at(1), a)).To(Equal(origin.Knowledge{Disputed: true}))
		r.Record(at(1), b, "")
		Expect(known(1, b)).To(BeEquivalentTo(""))
	})

	It("ignores a request without an ID", func() {
		r.Record(at(0), 0, "v1")
		r.Merge(at(0), origin.Batch{"v1": make([]byte, 8)})
		Expect(r.Len()).To(BeZero())
	})

	It("forgets a stream that has ended", func() {
		r.Record(at(0), a, "v1")
		r.Forget(a)
		r.Forget(b)
		Expect(known(0, a)).To(BeNil())
		batch, _ := r.Since(0)
		Expect(batch).To(BeEmpty())
	})

	It("removes an entry a lifetime after its last use", func() {
		r.Record(at(0), a, "v1")
		r.Merge(at(100), batchOf(b, "v1"))
		r.Record(at(200), c, "v1")
		Expect(known(900, a)).To(BeEquivalentTo("v1"))
		r.Merge(at(950), batchOf(b, "v1"))
		r.Record(at(1000), c, "v1")
		Expect(known(1899, a)).To(BeEquivalentTo("v1"))
		Expect(known(1949, b)).To(BeEquivalentTo("v1"))
		Expect(known(2000, c)).To(BeNil())
		Expect(known(2899, a)).To(BeNil())
		Expect(known(2949, b)).To(BeNil())
		Expect(r.Len()).To(BeZero())
		batch, _ := r.Since(0)
		Expect(batch).To(BeEmpty())
	})

	It("keeps an entry although the time steps back", func() {
		r.Record(at(900), a, "v1")
		r.Record(at(0), b, "v1")
		Expect(known(1800, b)).To(BeEquivalentTo("v1"))
	})

	It("removes the entry that was not used for longest if there are too many", func() {
		r.Record(at(0), a, "v1")
		r.Record(at(1), b, "v1")
		r.Merge(at(2), batchOf(c, "v1"))
		Expect(known(3, a)).To(BeEquivalentTo("v1"))
		r.Record(at(4), 4, "v1")
		Expect(known(5, b)).To(BeNil())
		Expect(known(5, a)).To(BeEquivalentTo("v1"))
		Expect(r.Len()).To(Equal(3))
	})

	It("returns each recorded entry once to a caller that passes the number back", func() {
		r.Record(at(0), a, "v1")
		r.Record(at(0), b, "v2")
		batch, next := r.Since(0)
		Expect(batch.Len()).To(Equal(2))
		Expect(batch).To(HaveKey(tables.SoftwareVersion("v1")))
		Expect(batch).To(HaveKey(tables.SoftwareVersion("v2")))
		r.Record(at(1), a, "v1")
		batch, next = r.Since(next)
		Expect(batch).To(BeEmpty())
		r.Record(at(2), b, "v1")
		batch, next = r.Since(next)
		Expect(batch).To(And(HaveLen(2), HaveKeyWithValue(tables.SoftwareVersion("v1"), batchOf(b, "v1")[tables.SoftwareVersion("v1")]), HaveKeyWithValue(tables.SoftwareVersion("v2"), batchOf(b, "v2")[tables.SoftwareVersion("v2")])))
		batch, _ = r.Since(next)
		Expect(batch).To(BeEmpty())
	})

	It("returns what other hosts reported only as a whole", func() {
		r.Merge(at(0), batchOf(a, "v1"))
		batch, next := r.Since(0)
		Expect(batch).To(BeEmpty())
		Expect(r.All(at(0))).To(Equal(batchOf(a, "v1")))
		r.Record(at(0), a, "v1")
		batch, _ = r.Since(next)
		Expect(batch).To(Equal(batchOf(a, "v1")))
	})

	It("knows no version for a stream of which hosts report two, also if it is recorded again", func() {
		r.Record(at(0), a, "v1")
		_, next := r.Since(0)
		r.Merge(at(0), batchOf(a, "v2"))
		r.Merge(at(0), batchOf(a, "v1"))
		Expect(known(0, a)).To(BeNil())
		Expect(r.All(at(0))).To(BeEmpty())
		batch, _ := r.Since(0)
		Expect(batch).To(And(HaveLen(2), HaveKeyWithValue(tables.SoftwareVersion("v1"), batchOf(a, "v1")[tables.SoftwareVersion("v1")]), HaveKeyWithValue(tables.SoftwareVersion("v2"), batchOf(a, "v2")[tables.SoftwareVersion("v2")])), "hosts that know either version alone must hear of both")
		batch, _ = r.Since(next)
		Expect(batch).To(BeEmpty())
		r.Record(at(0), a, "v1")
		Expect(known(0, a)).To(BeNil())
		batch, _ = r.Since(next)
		Expect(batch).To(BeEmpty())
	})

	It("knows no version for a stream that one batch has twice", func() {
		both := batchOf(a, "v1")
		both["v2"] = both["v1"]
		r.Merge(at(0), both)
		Expect(known(0, a)).To(BeNil())
	})

	It("ignores a malformed length", func() {
		batch := batchOf(a, "v1")
		batch["v2"] = []byte{0, 0, 0, 0, 0, 0, 0, 2, 9}
		r.Merge(at(0), batch)
		Expect(known(0, a)).To(BeEquivalentTo("v1"))
		Expect(r.Len()).To(Equal(1))
	})

	It("sends twelve bytes or fewer for an entry of a long batch", func() {
		large := origin.NewRegistry(time.Second, 2000)
		for i := range 1000 {
			large.Record(at(0), origin.StreamIDOf(fmt.Sprint(i)), "v1")
		}
		encoded, err := json.Marshal(large.All(at(0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encoded)).To(BeNumerically("<=", 12*1000))
	})
})

// FuzzBatch checks that what another host sends adds at most as many entries as it has
// bytes for, and that what a registry sends arrives whole.
func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"v1":"AAAAAAAAAAE=","v2":"AAAAAAAAAAI="}`))
	f.Add([]byte(`{"v1":"AAAAAAAAAAE=","v2":"AAAAAAAAAAE="}`))
	f.Add([]byte(`{"":"AAAAAAAAAAEB"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var batch origin.Batch
		if json.Unmarshal(raw, &batch) != nil {
			return
		}
		const maxEntries = 4
		r, copied := origin.NewRegistry(time.Second, maxEntries), origin.NewRegistry(time.Second, maxEntries)
		r.Merge(start, batch)
		if r.Len() > min(maxEntries, batch.Len()) {
			t.Fatalf("%d entries from %q", r.Len(), raw)
		}
		all := r.All(start)
		encoded, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		var decoded origin.Batch
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		copied.Merge(start, decoded)
		if copied.Len() != all.Len() || copied.All(start).Len() != all.Len() {
			t.Fatalf("%d entries of %d arrive", copied.Len(), all.Len())
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := origin.NewRegistry(time.Minute, 100_000)
	for i := range b.N {
		r.Record(start.Add(time.Duration(i)*time.Microsecond), origin.StreamID(i+1), "v1")
	}
}
