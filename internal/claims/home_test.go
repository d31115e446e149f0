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

// keyInSameShard returns a new key in the same shard as key.
func keyInSameShard(h *claims.Home, key string) string {
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

// keyAt returns a UUID of version 7 with creation time t.
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

// testEnv holds a log and homes that use it, in a synctest bubble with virtual
// time. The bubble fails if a goroutine outlives the spec.
type testEnv struct {
	log     *logstore.Store
	a, b    *claims.Home
	cancels []func()
}

// withTestEnv returns a function that runs spec in a new testEnv.
func withTestEnv(spec func(env *testEnv)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			env := &testEnv{log: logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: 4 * time.Hour})}
			defer GinkgoRecover()
			defer env.close()
			env.a, env.b = env.home("a"), env.home("b")
			spec(env)
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

func (env *testEnv) home(host tables.HostID) *claims.Home { return env.homeOn(host, env.log) }

func (env *testEnv) homeOn(host tables.HostID, log ports.Log) *claims.Home {
	h := claims.NewHome(claims.Options{Log: log, Host: host})
	ctx, cancel := context.WithCancel(context.Background())
	env.cancels = append(env.cancels, cancel)
	go h.Run(ctx)
	return h
}

func (env *testEnv) close() {
	for _, cancel := range env.cancels {
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
	It("grants a key to one request, regardless of the home", withTestEnv(func(env *testEnv) {
		key, first := keyAt(time.Now()), request("g1")
		Expect(acquire(env.a, key, first).Won).To(BeTrue())
		for _, h := range []*claims.Home{env.a, env.b} {
			r := acquire(h, key, request("g2"))
			Expect(r.Won).To(BeFalse())
			Expect(r.Kind).To(BeEmpty())
			Expect(r.Holder).To(Equal(first))
		}
		Expect(acquire(env.a, key, first).Won).To(BeFalse(), "a request wins its key only once")
	}))
	It("returns an answer that another home recorded", withTestEnv(func(env *testEnv) {
		key, first := keyAt(time.Now()), request("g1")
		acquire(env.a, key, first)
		o := peer.Outcome{ID: first, Known: true, Done: true, Target: "t", Status: 200, Body: []byte("whole"), BodyKept: true}
		record(env.a, key, o)
		Expect(acquire(env.home("c"), key, request("g2")).Outcome).To(HaveValue(Equal(o)))
	}))
	It("frees a key only if its request did not run", withTestEnv(func(env *testEnv) {
		key, first, second := keyAt(time.Now()), request("g1"), request("g2")
		acquire(env.a, key, first)
		record(env.b, key, peer.Outcome{ID: first, Kind: errkind.Overloaded})
		Expect(acquire(env.b, key, second).Won).To(BeTrue())
		record(env.a, key, peer.Outcome{ID: second, Kind: errkind.OutcomeUnknown})
		Expect(acquire(env.b, key, request("g1")).Won).To(BeFalse())
		// env.a has read the outcome back, but env.b may not have yet, although no
		// virtual time has passed. Wait for env.b, because a home uses only the
		// records that it has read itself.
		synctest.Wait()
		r := acquire(env.b, key, request("g1"))
		Expect(r.Won).To(BeFalse())
		Expect(r.Outcome).NotTo(BeNil())
		Expect(r.Outcome.Kind).To(Equal(errkind.OutcomeUnknown))
	}))
	It("resolves a lost append response by reading the log", withTestEnv(func(env *testEnv) {
		env.log.LoseAnswers(1)
		Expect(acquire(env.a, keyAt(time.Now()), request("g")).Won).To(BeTrue())
		Expect(env.log.Appends()).To(Equal(1))
	}))
	It("releases a claim whose append was lost before it claims again", withTestEnv(func(env *testEnv) {
		env.log.LoseRequests(1)
		Expect(acquire(env.a, keyAt(time.Now()), request("g")).Won).To(BeTrue())
		Expect(env.log.Appends()).To(Equal(1))
	}))
	It("refuses immediately during a log outage and recovers afterwards", withTestEnv(func(env *testEnv) {
		key := keyAt(time.Now())
		acquire(env.a, keyInSameShard(env.a, key), request("g"))
		env.log.SetDown(true)
		acquire(env.a, key, request("g"))
		start := time.Now()
		r := acquire(env.a, key, request("g"))
		Expect(r.Kind).To(Equal(errkind.ClaimsUnavailable))
		Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(time.Since(start)).To(BeNumerically("<", 10*time.Millisecond))
		env.log.SetDown(false)
		time.Sleep(5 * time.Second)
		Expect(acquire(env.a, keyInSameShard(env.a, key), request("g")).Won).To(BeTrue())
	}))
	DescribeTable("refuses a key that is malformed or outside the window",
		func(key func() string, kind errkind.Kind) {
			withTestEnv(func(env *testEnv) {
				Expect(acquire(env.a, key(), request("g")).Kind).To(Equal(kind))
				Expect(env.log.Appends()).To(BeZero())
			})()
		},
		Entry("not a UUID", func() string { return "k" }, errkind.KeyMalformed),
		Entry("random UUID", func() string { return uuid.NewString() }, errkind.KeyMalformed),
		Entry("old", func() string { return keyAt(time.Now().Add(-2 * time.Hour)) }, errkind.KeyExpired),
		Entry("from the future", func() string { return keyAt(time.Now().Add(time.Hour)) }, errkind.KeyExpired),
	)
	It("refuses a used key with another body", withTestEnv(func(env *testEnv) {
		key := keyAt(time.Now())
		acquire(env.a, key, request("g"))
		r, err := env.a.Acquire(context.Background(), peer.Acquire{Customer: "c", Service: "s", Key: key, Request: request("g"), Fingerprint: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Kind).To(Equal(errkind.KeyReused))
	}))
	It("closes an idle shard and opens it again", withTestEnv(func(env *testEnv) {
		key, first := keyAt(time.Now()), request("g")
		counting := &countingLog{Log: env.log}
		home := env.homeOn("c", counting)
		Expect(acquire(home, key, first).Won).To(BeTrue())
		time.Sleep(claims.DefaultIdleTimeout + time.Minute)
		before := counting.records.Load()
		Expect(acquire(home, key, request("g")).Holder).To(Equal(first))
		Expect(counting.records.Load()).To(BeNumerically(">", before), "the shard was not closed: an open shard does not read records again")
	}))
	It("keeps outcomes during a log outage and flushes them afterwards", withTestEnv(func(env *testEnv) {
		key, first := keyAt(time.Now()), request("g")
		acquire(env.a, key, first)
		env.log.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		o := peer.Outcome{ID: first, Kind: errkind.RanFailed}
		Expect(env.a.Record(ctx, peer.Record{Customer: "c", Service: "s", Key: key, Outcome: o})).NotTo(Succeed())
		Expect(env.a.Flush(ctx)).NotTo(Succeed())
		time.AfterFunc(time.Minute, func() { env.log.SetDown(false) })
		Expect(env.a.Flush(context.Background())).To(Succeed())
		Expect(acquire(env.b, key, request("g")).Outcome).To(HaveField("Kind", errkind.RanFailed))
	}))
	It("skips records that are older than any valid key", withTestEnv(func(env *testEnv) {
		stream := ports.ClaimStreamPrefix + "5"
		for range 40_000 {
			_, err := env.log.Append(context.Background(), stream, []byte("old"))
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(2 * time.Hour)
		key := keyAt(time.Now())
		for env.a.ShardOf("c", "s", key) != 5 {
			key = keyAt(time.Now())
		}
		first := request("g")
		Expect(acquire(env.a, key, first).Won).To(BeTrue())
		counting := &countingLog{Log: env.log}
		b := env.homeOn("b", counting)
		Expect(acquire(b, key, request("g")).Holder).To(Equal(first))
		Expect(counting.records.Load()).To(BeNumerically("<", 20_000))
	}))
	It("refuses keys whose claims may have been truncated from the log", withTestEnv(func(env *testEnv) {
		key := keyAt(time.Now())
		acquire(env.a, key, request("g"))
		shard := env.a.ShardOf("c", "s", key)
		env.log.Truncate(ports.ClaimStreamPrefix+strconv.Itoa(shard), 1)
		Expect(acquire(env.home("c"), key, request("g")).Kind).To(Equal(errkind.KeyExpired))
	}))
})
