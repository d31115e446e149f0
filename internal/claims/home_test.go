package claims_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// sameShard returns a new key of the shard of another one.
func sameShard(h *claims.Home, key string) string {
	for {
		k := keyAt(time.Now())
		if h.ShardOf("c", "s", k) == h.ShardOf("c", "s", key) {
			return k
		}
	}
}

var suite *testing.T

func TestClaims(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// keyAt returns a UUID of version 7 that was made at t.
func keyAt(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func request(host tables.HostID) tables.RequestID {
	return tables.NewRequestID(host, uuid.Must(uuid.NewV7()))
}

// world is a log and the homes that use it, in a bubble with virtual time. The
// bubble fails when a goroutine outlives the spec.
type world struct {
	log     *logstore.Store
	a, b    *claims.Home
	cancels []func()
}

// inWorld runs a spec in virtual time.
func inWorld(spec func(w *world)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			w := &world{log: logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: 4 * time.Hour})}
			defer GinkgoRecover()
			defer w.close()
			w.a, w.b = w.home("a"), w.home("b")
			spec(w)
		})
	}
}

// countingLog counts the records that are read from a log.
type countingLog struct {
	ports.Log
	records atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	p, err := l.Log.Read(ctx, stream, from, wait)
	l.records.Add(int64(len(p.Records)))
	return p, err
}

func (w *world) home(host tables.HostID) *claims.Home { return w.homeOn(host, w.log) }

func (w *world) homeOn(host tables.HostID, log ports.Log) *claims.Home {
	h := claims.NewHome(claims.Options{Log: log, Host: host})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancels = append(w.cancels, cancel)
	go h.Run(ctx)
	return h
}

func (w *world) close() {
	for _, cancel := range w.cancels {
		cancel()
	}
}

func acquire(h *claims.Home, key string, request tables.RequestID) peer.AcquireResult {
	r, err := h.Acquire(context.Background(), peer.Acquire{Customer: "c", Service: "s", Key: key, Request: request, Fingerprint: 1})
	Expect(err).NotTo(HaveOccurred())
	return r
}

func record(h *claims.Home, key string, o peer.Outcome) {
	Expect(h.Record(context.Background(), peer.Record{Customer: "c", Service: "s", Key: key, Outcome: o})).To(Succeed())
}

var _ = Describe("Home", func() {
	It("gives a key to one request, whichever home is asked", inWorld(func(w *world) {
		key, first := keyAt(time.Now()), request("g1")
		Expect(acquire(w.a, key, first).Won).To(BeTrue())
		for _, h := range []*claims.Home{w.a, w.b} {
			r := acquire(h, key, request("g2"))
			Expect(r.Won).To(BeFalse())
			Expect(r.Kind).To(BeEmpty())
			Expect(r.Holder).To(Equal(first))
		}
		Expect(acquire(w.a, key, first).Won).To(BeFalse(), "a right to dispatch is given once")
	}))
	It("returns the recorded answer from another home", inWorld(func(w *world) {
		key, first := keyAt(time.Now()), request("g1")
		acquire(w.a, key, first)
		o := peer.Outcome{ID: first, Known: true, Done: true, Target: "t", Status: 200, Body: []byte("whole"), BodyKept: true}
		record(w.a, key, o)
		Expect(acquire(w.home("c"), key, request("g2")).Outcome).To(HaveValue(Equal(o)))
	}))
	It("frees a key whose request did not run, and no other", inWorld(func(w *world) {
		key, first, second := keyAt(time.Now()), request("g1"), request("g2")
		acquire(w.a, key, first)
		record(w.b, key, peer.Outcome{ID: first, Kind: errkind.Overloaded})
		Expect(acquire(w.b, key, second).Won).To(BeTrue())
		record(w.a, key, peer.Outcome{ID: second, Kind: errkind.OutcomeUnknown})
		Expect(acquire(w.b, key, request("g1")).Won).To(BeFalse())
		// A home answers for a held key by what it has read. Its own read of the
		// outcome ends at the same virtual time as that of the home which wrote it.
		synctest.Wait()
		r := acquire(w.b, key, request("g1"))
		Expect(r.Won).To(BeFalse())
		Expect(r.Outcome).NotTo(BeNil())
		Expect(r.Outcome.Kind).To(Equal(errkind.OutcomeUnknown))
	}))
	It("settles a lost answer by reading", inWorld(func(w *world) {
		w.log.LoseAnswers(1)
		Expect(acquire(w.a, keyAt(time.Now()), request("g")).Won).To(BeTrue())
		Expect(w.log.Appends()).To(Equal(1))
	}))
	It("releases a lost claim before it makes another", inWorld(func(w *world) {
		w.log.LoseRequests(1)
		Expect(acquire(w.a, keyAt(time.Now()), request("g")).Won).To(BeTrue())
		Expect(w.log.Appends()).To(Equal(1))
	}))
	It("refuses at once in an outage and recovers after it", inWorld(func(w *world) {
		key := keyAt(time.Now())
		acquire(w.a, sameShard(w.a, key), request("g"))
		w.log.SetDown(true)
		acquire(w.a, key, request("g"))
		began := time.Now()
		r := acquire(w.a, key, request("g"))
		Expect(r.Kind).To(Equal(errkind.ClaimsUnavailable))
		Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Millisecond))
		w.log.SetDown(false)
		time.Sleep(5 * time.Second)
		Expect(acquire(w.a, sameShard(w.a, key), request("g")).Won).To(BeTrue())
	}))
	DescribeTable("refuses a key that it cannot decide about",
		func(key func() string, kind errkind.Kind) {
			inWorld(func(w *world) {
				Expect(acquire(w.a, key(), request("g")).Kind).To(Equal(kind))
				Expect(w.log.Appends()).To(BeZero())
			})()
		},
		Entry("no UUID", func() string { return "k" }, errkind.KeyMalformed),
		Entry("random UUID", func() string { return uuid.NewString() }, errkind.KeyMalformed),
		Entry("old", func() string { return keyAt(time.Now().Add(-2 * time.Hour)) }, errkind.KeyExpired),
		Entry("from the future", func() string { return keyAt(time.Now().Add(time.Hour)) }, errkind.KeyExpired),
	)
	It("refuses another body under a used key", inWorld(func(w *world) {
		key := keyAt(time.Now())
		acquire(w.a, key, request("g"))
		r, err := w.a.Acquire(context.Background(), peer.Acquire{Customer: "c", Service: "s", Key: key, Request: request("g"), Fingerprint: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Kind).To(Equal(errkind.KeyReused))
	}))
	It("closes a shard after disuse and opens it again", inWorld(func(w *world) {
		key, first := keyAt(time.Now()), request("g")
		counted := &countingLog{Log: w.log}
		home := w.homeOn("c", counted)
		Expect(acquire(home, key, first).Won).To(BeTrue())
		time.Sleep(claims.DefaultIdle + time.Minute)
		before := counted.records.Load()
		Expect(acquire(home, key, request("g")).Holder).To(Equal(first))
		Expect(counted.records.Load()).To(BeNumerically(">", before), "an open shard reads nothing twice")
	}))
	It("keeps outcomes through an outage and flushes them", inWorld(func(w *world) {
		key, first := keyAt(time.Now()), request("g")
		acquire(w.a, key, first)
		w.log.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		o := peer.Outcome{ID: first, Kind: errkind.RanFailed}
		Expect(w.a.Record(ctx, peer.Record{Customer: "c", Service: "s", Key: key, Outcome: o})).NotTo(Succeed())
		Expect(w.a.Flush(ctx)).NotTo(Succeed())
		time.AfterFunc(time.Minute, func() { w.log.SetDown(false) })
		Expect(w.a.Flush(context.Background())).To(Succeed())
		Expect(acquire(w.b, key, request("g")).Outcome).To(HaveField("Kind", errkind.RanFailed))
	}))
	It("skips records that are older than any key", inWorld(func(w *world) {
		stream := ports.ClaimStreamPrefix + "5"
		for range 40_000 {
			_, err := w.log.Append(context.Background(), stream, []byte("old"))
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(2 * time.Hour)
		key := keyAt(time.Now())
		for w.a.ShardOf("c", "s", key) != 5 {
			key = keyAt(time.Now())
		}
		first := request("g")
		Expect(acquire(w.a, key, first).Won).To(BeTrue())
		counted := &countingLog{Log: w.log}
		b := w.homeOn("b", counted)
		Expect(acquire(b, key, request("g")).Holder).To(Equal(first))
		Expect(counted.records.Load()).To(BeNumerically("<", 20_000))
	}))
	It("refuses keys whose claims the log may have dropped", inWorld(func(w *world) {
		key := keyAt(time.Now())
		acquire(w.a, key, request("g"))
		shard := w.a.ShardOf("c", "s", key)
		w.log.Truncate(ports.ClaimStreamPrefix+strconv.Itoa(shard), 1)
		Expect(acquire(w.home("c"), key, request("g")).Kind).To(Equal(errkind.KeyExpired))
	}))
})
