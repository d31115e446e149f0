package process_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/process"
	"github.com/bluebellseam/bluebellseam/internal/standin/weightstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

const anyPort = "127.0.0.1:0"

var _ = Describe("Start", func() {
	It("serves each stand-in at its own address", func(ctx SpecContext) {
		listing := filepath.Join(GinkgoT().TempDir(), "listing.json")
		Expect(os.WriteFile(listing, []byte(`{"hosts":[{"id":"h1","failure_domain":"a","peer_address":"127.0.0.1:1"}],"targets":{"e1":"live"}}`), 0o600)).To(Succeed())
		r, err := process.Start(process.Options{
			LogAddress: anyPort, HostListAddress: anyPort, WeightStoreAddress: anyPort, ListingFile: listing,
			Engines: []string{"e1=" + anyPort}, PlainServices: []string{"p1=" + anyPort},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		url := func(name string) string { return "http://" + r.Addresses[name] }
		Expect(ports.NewLogClient(url("log"), nil).Append(ctx, "s", nil)).To(BeZero())
		hosts, err := ports.NewHostListClient(url("host-list"), nil).List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts.Hosts).To(HaveLen(1))
		Expect(hosts.Targets).To(HaveKeyWithValue(tables.TargetID("e1"), tables.HostLive))
		Expect(ports.NewWeightClient(url("weight-store"), nil).Acquire(ctx, "m", 1)).To(BeNumerically(">", 0))
		Expect(target.NewEngineClient(r.Addresses["e1"]).Cancel(ctx, "x")).To(Equal(target.NeverStarted))
		Expect(target.NewPlainClient(r.Addresses["p1"], "s").Cancel(ctx, "x")).To(Equal(target.NeverStarted))
	}, NodeTimeout(10*time.Second))

	DescribeTable("refuses invalid options", func(o process.Options, text string) {
		_, err := process.Start(o)
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("nothing to serve", process.Options{}, "no stand-in is named"),
		Entry("a host name instead of an IP address", process.Options{LogAddress: "localhost:1"}, "has no literal IP address"),
		Entry("an address without a port", process.Options{LogAddress: "127.0.0.1"}, "not IP:port"),
		Entry("a target without a name", process.Options{Engines: []string{anyPort}}, "not of the form"),
		Entry("a target named twice", process.Options{Engines: []string{"e=" + anyPort}, PlainServices: []string{"e=" + anyPort}}, "named twice"),
		Entry("a missing listing file", process.Options{ListingFile: "/nowhere.json"}, "host list"),
	)
})

var _ = Describe("List", func() {
	It("shows a change after the lag", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		l := hostlist.New(clock, time.Second)
		l.SetHosts([]tables.Host{{ID: "h1", Listed: tables.HostLive}})
		l.SetTargets(map[tables.TargetID]tables.HostState{"e1": tables.HostLive})
		first, err := l.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Hosts).To(HaveLen(1))
		l.MarkTarget("e1", tables.HostLeaving)
		l.MarkHost("h1", "")
		Expect(l.List(ctx)).To(Equal(first))
		clock.Advance(time.Second)
		second, err := l.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Version).To(BeNumerically(">", first.Version))
		Expect(second.Hosts).To(BeEmpty())
		Expect(second.Targets).To(HaveKeyWithValue(tables.TargetID("e1"), tables.HostLeaving))
		l.SetDown(true)
		_, err = l.List(ctx)
		Expect(err).To(MatchError(ports.ErrUnavailable))
	})
})

var _ = Describe("weight store", func() {
	It("limits the rate of permits and refuses stale fencing numbers", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		s := weightstore.New(clock, weightstore.Options{PermitsPerSecond: 1, Burst: 1, PermitLifetime: time.Minute})
		Expect(s.Acquire(ctx, "m", 5)).To(Equal(time.Minute))
		_, err := s.Acquire(ctx, "m", 5)
		Expect(err).To(MatchError(ContainSubstring("rate limit")))
		clock.Advance(time.Second)
		_, err = s.Acquire(ctx, "m", 4)
		Expect(err).To(MatchError(ports.ErrUnavailable))
		Expect(s.Acquire(ctx, "other", 1)).To(Equal(time.Minute))
		granted, refused := s.Counts()
		Expect([]int{granted, refused}).To(Equal([]int{2, 2}))
	})
})
