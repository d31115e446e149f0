package claim_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim system")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// numbered returns a UUID of version 7 that was created at start and contains n.
func numbered(n uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], n)
	for i := range 6 {
		id[i] = byte(start.UnixMilli() >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id
}

func key(n uint64) claim.Key { return claim.Key{Customer: "c", Service: "s", ID: numbered(n)} }

func request(n uint64) tables.RequestID { return tables.NewRequestID("g", numbered(n)) }

func newShard(host tables.HostID) *claim.Shard {
	return claim.NewShard(claim.Settings{
		Limits:       claim.Limits{Window: time.Hour, Skew: time.Second},
		Host:         host,
		Incarnation:  1,
		AppendGrace:  time.Second,
		MaxBackoff:   time.Second,
		StallTimeout: 3 * time.Second,
		OutcomeDelay: 100 * time.Millisecond,
	}, &claim.Sequences{})
}

// stream passes each appended batch to all shards.
type stream struct {
	now     time.Duration
	offset  int64
	readers []*claim.Shard
}

func (s *stream) add(b claim.Batch) {
	for _, r := range s.readers {
		r.ReadRecord(at(s.now), s.offset, at(s.now), b)
		r.Decide(at(s.now))
	}
	s.offset++
}

func next(s *claim.Shard, d time.Duration) claim.Batch {
	b, ok := s.NextBatch(at(d))
	Expect(ok).To(BeTrue())
	return b
}

func acquireRequest(n, r uint64) claim.AcquireRequest {
	return claim.AcquireRequest{Key: key(n), Request: request(r), Fingerprint: 1, Deadline: at(2500 * time.Millisecond)}
}

var _ = Describe("Shard", func() {
	var (
		a, b *claim.Shard
		log  *stream
	)
	BeforeEach(func() {
		a, b = newShard("a"), newShard("b")
		log = &stream{readers: []*claim.Shard{a, b}}
	})

	It("grants a key to the first claim in log order", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		b.Acquire(at(0), acquireRequest(1, 2))
		first, second := next(b, 0), next(a, 0)
		log.add(first)
		log.add(second)
		Expect(b.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
		Expect(a.TakeCompleted()).To(ConsistOf(And(HaveField("Result.Won", false), HaveField("Result.Holder.Request", request(2)))))
	})
	It("voids a late claim of an abandoned attempt and frees the key", func() {
		t := a.Acquire(at(0), acquireRequest(1, 1))
		late := next(a, 0)
		a.AppendDone(at(0), late.Number, claim.Unknown)
		log.now = 4 * time.Second
		a.Tick(at(log.now))
		Expect(a.TakeCompleted()).To(ConsistOf(HaveField("Ticket", t)))
		log.add(next(a, log.now))
		log.add(late)
		_, held := b.Table().Holder(key(1))
		Expect(held).To(BeFalse())
		retry := acquireRequest(1, 2)
		retry.Deadline = at(time.Minute)
		b.Acquire(at(log.now), retry)
		log.add(next(b, log.now))
		Expect(b.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
	})
	It("releases an attempt whose append result is unknown and claims again", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		first := next(a, 0)
		a.AppendDone(at(0), first.Number, claim.Unknown)
		log.now = 2 * time.Second
		a.Tick(at(log.now))
		second := next(a, log.now)
		log.add(first)
		Expect(a.TakeCompleted()).To(BeEmpty(), "the release of this attempt is in a batch that is still in flight")
		log.add(second)
		Expect(a.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
	})
	It("does not grant a key twice to the same request", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		log.add(next(a, 0))
		a.TakeCompleted()
		b.Acquire(at(0), acquireRequest(1, 1))
		Expect(b.TakeCompleted()).To(ConsistOf(And(HaveField("Result.Won", false), HaveField("Result.Holder.Request", request(1)))))
	})
	It("grants a key at only one of two homes where the same request claims it", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		b.Acquire(at(0), acquireRequest(1, 1))
		first, second := next(a, 0), next(b, 0)
		log.add(first)
		log.add(second)
		Expect(a.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
		Expect(b.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", false)))
	})
	It("reports a key as freed if its holder ended before the claim was decided", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		b.Acquire(at(0), acquireRequest(1, 2))
		winning, losing := next(a, 0), next(b, 0)
		a.AppendDone(at(0), winning.Number, claim.Appended)
		b.AppendDone(at(0), losing.Number, claim.Appended)
		a.ReadRecord(at(0), 0, at(0), winning)
		a.Decide(at(0))
		Expect(a.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
		a.Record(at(0), claim.Outcome{Key: key(1), Request: request(1), Kind: errkind.Overloaded})
		freeing := next(a, time.Second)
		for i, batch := range []claim.Batch{winning, losing, freeing} {
			b.ReadRecord(at(time.Second), int64(i), at(time.Second), batch)
		}
		b.Decide(at(time.Second))
		Expect(b.TakeCompleted()).To(ConsistOf(And(HaveField("Result.Won", false), HaveField("Result.Freed", true))))
		b.Acquire(at(time.Second), acquireRequest(1, 3))
		b.ReadRecord(at(time.Second), 3, at(time.Second), next(b, time.Second))
		b.Decide(at(time.Second))
		Expect(b.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", true)))
	})
	It("voids a claim whose request was already recorded as not run", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		late := next(a, 0)
		b.Record(at(0), claim.Outcome{Key: key(1), Request: request(1), Kind: errkind.ClaimsUnavailable})
		log.add(next(b, time.Second))
		log.add(late)
		Expect(a.TakeCompleted()).To(ConsistOf(HaveField("Result.Won", false)))
		_, held := a.Table().Holder(key(1))
		Expect(held).To(BeFalse())
	})
	It("replaces an unknown outcome but not a known one", func() {
		outcome := func(k errkind.Kind) {
			b.Record(at(log.now), claim.Outcome{Key: key(1), Request: request(1), Kind: k})
			log.now += time.Second
			recorded := next(b, log.now)
			b.AppendDone(at(log.now), recorded.Number, claim.Appended)
			log.add(recorded)
		}
		a.Acquire(at(0), acquireRequest(1, 1))
		log.add(next(a, 0))
		outcome(errkind.OutcomeUnknown)
		outcome(errkind.RanFailed)
		outcome(errkind.NotAdmitted)
		h, held := a.Table().Holder(key(1))
		Expect(held).To(BeTrue())
		Expect(h.Kind).To(Equal(errkind.RanFailed))
	})
	It("does not grant a key that expires while its claim is in flight", func() {
		expiring := acquireRequest(1, 1)
		expiring.Lifetime = time.Minute
		expiring.Deadline = at(time.Hour)
		a.Acquire(at(59*time.Second), expiring)
		claimBatch := next(a, 59*time.Second)
		log.now = time.Minute
		log.add(claimBatch)
		Expect(errkind.Of(a.TakeCompleted()[0].Result.Err)).To(Equal(errkind.KeyExpired))
	})
	It("refuses claims immediately while its appended batches are not read back", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		next(a, 0)
		a.Acquire(at(4*time.Second), acquireRequest(2, 2))
		Expect(errkind.Of(a.TakeCompleted()[0].Result.Err)).To(Equal(errkind.ClaimsUnavailable))
	})
	It("accepts claims after the last batch that was not read back has been given up", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		lost := next(a, 0)
		a.AppendDone(at(2*time.Second), lost.Number, claim.Unknown)
		log.now = 2500 * time.Millisecond
		a.Tick(at(log.now))
		release := next(a, log.now)
		a.AppendDone(at(log.now), release.Number, claim.Appended)
		log.add(release)
		a.Tick(at(3 * time.Second))
		a.TakeCompleted()
		Expect(a.Idle()).To(BeTrue())
		a.Acquire(at(10*time.Second), acquireRequest(2, 2))
		Expect(a.TakeCompleted()).To(BeEmpty())
	})
	It("puts all claims that queued during an append into the next batch", func() {
		a.Acquire(at(0), acquireRequest(1, 1))
		first := next(a, 0)
		for n := range uint64(10) {
			a.Acquire(at(0), acquireRequest(10+n, 10+n))
		}
		_, ok := a.NextBatch(at(0))
		Expect(ok).To(BeFalse())
		a.AppendDone(at(time.Second), first.Number, claim.Appended)
		Expect(next(a, time.Second).Claims).To(HaveLen(10))
	})
})

var _ = Describe("Records", func() {
	It("are unchanged by encoding and decoding", func() {
		in := claim.Batch{
			Writer: "a", Incarnation: 2, Number: 3,
			Releases: []claim.Release{{Key: key(1), Sequence: 4}},
			Claims:   []claim.Claim{{Key: key(1), Request: request(1), Fingerprint: 1 << 63, Sequence: 4, TargetsDigest: 5}},
			Outcomes: []claim.Outcome{
				{Key: key(1), Request: request(1), Kind: errkind.RanFailed, Detail: "d", Target: "t", Status: 502, Tokens: 9, Body: []byte("b"), BodyKept: true},
				{Key: key(2), Request: request(2)},
			},
		}
		data, err := in.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(claim.Decode(data)).To(Equal(in))
		for n := range data {
			_, err = claim.Decode(data[:n])
			Expect(err).To(HaveOccurred())
		}
	})
	It("belong to keys that are spread evenly over all shards", func() {
		seen := make(map[int]int)
		for n := range uint64(64_000) {
			seen[key(n).Shard(64)]++
		}
		Expect(seen).To(HaveLen(64))
		for _, n := range seen {
			Expect(n).To(BeNumerically("~", 1000, 200))
		}
	})
})

const batchSize = 64

// encodedClaims returns records with at least n claims in total, batchSize each.
func encodedClaims(b *testing.B, n int) [][]byte {
	var records [][]byte
	for i := 0; i < n; i += batchSize {
		batch := claim.Batch{Writer: "host-a", Incarnation: 1, Number: uint64(i)}
		for j := range batchSize {
			k := uint64(i + j)
			batch.Claims = append(batch.Claims, claim.Claim{
				Key: key(k), Request: request(k), Fingerprint: tables.Fingerprint(k * 0x9e3779b97f4a7c15), Sequence: k, TargetsDigest: 1 << 60,
			})
		}
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, data)
	}
	return records
}

// BenchmarkClaims decodes and applies claims of distinct keys on one core.
func BenchmarkClaims(b *testing.B) {
	runtime.GOMAXPROCS(1)
	records := encodedClaims(b, b.N)
	table := claim.NewTable(claim.Limits{Window: time.Hour, Skew: time.Second})
	b.ResetTimer()
	for i, data := range records {
		batch, err := claim.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		table.Apply(start, int64(i), start, batch)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(len(records[0]))/batchSize, "record-bytes/claim")
}

// BenchmarkAcquire runs claims through all steps on one host: acquire, batch,
// encode, decode, apply and complete.
func BenchmarkAcquire(b *testing.B) {
	runtime.GOMAXPROCS(1)
	s := newShard("host-a")
	won := 0
	for i := 0; i < b.N; i += batchSize {
		for j := range batchSize {
			k := uint64(i + j)
			s.Acquire(start, claim.AcquireRequest{Key: key(k), Request: request(k), Fingerprint: 1, Deadline: at(time.Second)})
		}
		batch, _ := s.NextBatch(start)
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		s.AppendDone(start, batch.Number, claim.Appended)
		read, err := claim.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		s.ReadRecord(start, int64(i), start, read)
		s.Decide(start)
		for _, completed := range s.TakeCompleted() {
			if completed.Result.Won {
				won++
			}
		}
	}
	if won < b.N {
		b.Fatalf("%d of %d claims won", won, b.N)
	}
	b.ReportMetric(float64(won)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkTableMemory measures the heap size of a table for several numbers of
// keys.
func BenchmarkTableMemory(b *testing.B) {
	for _, keys := range []int{33_188, 165_938, 331_875} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := claim.NewTable(claim.Limits{Window: time.Hour, Skew: time.Second})
			for n := range uint64(keys) {
				table.Apply(start, int64(n), start, claim.Batch{Writer: "a", Claims: []claim.Claim{{Key: key(n), Request: request(n)}}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			heap := float64(after.HeapAlloc - before.HeapAlloc)
			b.ReportMetric(heap/float64(keys), "B/key")
			b.ReportMetric(heap/(1<<20), "MiB")
			if table.Len() != keys {
				b.Fatalf("table holds %d keys", table.Len())
			}
		})
	}
}
