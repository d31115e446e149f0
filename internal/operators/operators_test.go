package operators_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/operators"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestOperators(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operators")
}

func digest(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// stubs implements the dependencies of the handler with values set by a spec.
type stubs struct {
	mu         sync.Mutex
	current    follow.Snapshot
	published  []config.Patch
	err        error
	hosts      []tables.Host
	heartbeats map[string]peer.Heartbeat
	outcomes   map[string]peer.Outcome
	called     []string
	released   []tables.Fingerprint
}

func (s *stubs) Current() follow.Snapshot { return s.current }
func (s *stubs) Publish(_ context.Context, p config.Patch) (config.Result, error) {
	s.published = append(s.published, p)
	return config.Result{PatchID: p.ID, Accepted: true, Base: p.Base, Version: p.Base + 1, Operator: p.Operator}, s.err
}
func (s *stubs) DryRun(p config.Patch) (config.Result, error) {
	return config.Result{PatchID: p.ID, Accepted: true, Base: p.Base, Version: p.Base + 1, Diff: "+x"}, s.err
}
func (s *stubs) History() []config.Result {
	return []config.Result{{PatchID: "b", Reason: "stale", Base: 1, Version: 2}, {PatchID: "a", Accepted: true, Version: 2}}
}
func (s *stubs) LogReachable() bool   { return true }
func (s *stubs) Hosts() []tables.Host { return s.hosts }
func (s *stubs) List() []peer.QuarantineEntry {
	return []peer.QuarantineEntry{{Fingerprint: 0xab, Customer: "workshop", Service: "report", Crashes: 2, Expires: time.Unix(9, 0)}}
}
func (s *stubs) TargetState(id tables.TargetID) tables.HostState {
	if id == "engine-1" {
		return tables.HostLeaving
	}
	return tables.HostLive
}
func (s *stubs) Release(_ context.Context, f tables.Fingerprint) error {
	if f != 0xab {
		return errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("no entry %x", f))
	}
	s.released = append(s.released, f)
	return nil
}
func (s *stubs) Call(_ context.Context, address, method string, _, result any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called = append(s.called, address)
	outcome, found := s.outcomes[address]
	heartbeat, hasHeartbeat := s.heartbeats[address]
	switch {
	case method == peer.MethodLookup && found:
		*result.(*peer.Outcome) = outcome
	case method == peer.MethodHeartbeat && hasHeartbeat:
		*result.(*peer.Heartbeat) = heartbeat
	default:
		return errors.New("connection refused")
	}
	return nil
}

type bearer string

func (b bearer) OperatorKey(context.Context, api.OperationName) (api.OperatorKey, error) {
	return api.OperatorKey{Token: string(b)}, nil
}

var _ = Describe("The operators' API", func() {
	var (
		s      *stubs
		server *httptest.Server
		ctx    = context.Background()
	)
	client := func(key string) *api.Client {
		c, err := api.NewClient(server.URL, bearer(key))
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	kindOf := func(err error) string {
		var p *api.ProblemStatusCode
		Expect(errors.As(err, &p)).To(BeTrue(), fmt.Sprint(err))
		Expect(p.StatusCode).To(Equal(errkind.Kind(p.Response.Kind).Answer().Status))
		return p.Response.Kind
	}
	BeforeEach(func() {
		s = &stubs{current: follow.Snapshot{Version: 7, Digest: 0xfeed, Document: &config.Document{
			Operators: map[string]config.Operator{"eva": {KeySHA256: map[string]string{"a": digest("eva-key")}}},
			Targets:   map[string]config.Target{"engine-1": {Drained: true}, "engine-2": {}},
		}}}
		clock := clockwork.NewFakeClock()
		now := clock.Now()
		s.hosts = []tables.Host{
			{ID: "c", PeerAddress: "3", Listed: tables.HostLive, LastContact: now.Add(-time.Minute), ConfigVersion: 5},
			{ID: "a", PeerAddress: "1", Listed: tables.HostLive, ConfigVersion: 6},
			{ID: "b", PeerAddress: "2", Listed: tables.HostLive},
			{ID: "d"},
		}
		s.heartbeats = map[string]peer.Heartbeat{
			"1": {ConfigVersion: 7, LowestConfigVersion: 7, Pool: []tables.TargetSummary{{Target: "engine-2", Free: 2, RunningByTier: []int{1, 1}, QueuedByTier: []int{0, 3}, Straggler: true}}},
			"2": {ConfigVersion: 6, LowestConfigVersion: 6, Leaving: true, Pool: []tables.TargetSummary{{Target: "engine-2", Free: 1}}},
		}
		h := &operators.Handler{Host: "a", Configuration: s, Members: s, Peers: s, Quarantine: s, Clock: clock}
		handler, err := operators.NewServer(h, operators.NewKeys(s, digest("first-key")), noop.NewTracerProvider())
		Expect(err).NotTo(HaveOccurred())
		server = httptest.NewServer(handler)
		DeferCleanup(server.Close)
	})

	It("accepts only the keys of operators", func() {
		for _, key := range []string{"", "first-key", "other"} {
			_, err := client(key).GetConfig(ctx)
			Expect(kindOf(err)).To(Equal("unauthenticated"))
		}
		c, err := client("eva-key").GetConfig(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Version).To(BeEquivalentTo(7))
		Expect(c.Digest).To(Equal("000000000000feed"))
		Expect(c.Document).To(HaveKey("targets"))
	})
	It("accepts the bootstrap key while no operator is configured", func() {
		s.current = follow.Snapshot{Document: &config.Document{}}
		_, err := client("first-key").PublishPatch(ctx, &api.Patch{PatchID: uuid.New(), Merge: api.PatchMerge{}}, api.PublishPatchParams{})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.published[0].Operator).To(Equal(operators.BootstrapOperator))
		_, err = client("eva-key").GetConfig(ctx)
		Expect(kindOf(err)).To(Equal("unauthenticated"))
	})
	It("publishes under the operator's name and does not publish a dry run", func() {
		patch := &api.Patch{Base: 7, PatchID: uuid.New(), Merge: api.PatchMerge{"targets": []byte(`{"engine-1":null}`)}}
		r, err := client("eva-key").PublishPatch(ctx, patch, api.PublishPatchParams{DryRun: api.NewOptBool(true)})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Diff.Value).To(Equal("+x"))
		Expect(s.published).To(BeEmpty())
		_, err = client("eva-key").PublishPatch(ctx, patch, api.PublishPatchParams{})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.published).To(HaveLen(1))
		Expect(s.published[0].Operator).To(Equal("eva"))
		Expect(s.published[0].Base).To(BeEquivalentTo(7))
		Expect(s.published[0].ID).To(Equal(patch.PatchID.String()))
		Expect(s.published[0].Merge).To(MatchJSON(`{"targets":{"engine-1":null}}`))
	})
	It("returns the version in force with a version conflict", func() {
		s.err = errkind.New(errkind.VersionConflict, "base 6 is not 7")
		_, err := client("eva-key").PublishPatch(ctx, &api.Patch{Base: 6, PatchID: uuid.New(), Merge: api.PatchMerge{}}, api.PublishPatchParams{})
		Expect(kindOf(err)).To(Equal("version_conflict"))
		var p *api.ProblemStatusCode
		Expect(errors.As(err, &p)).To(BeTrue())
		Expect(p.Response.Version.Value).To(BeEquivalentTo(7))
	})
	DescribeTable("rejects invalid input with a problem of the matching kind",
		func(method, path, body string, status int, kind errkind.Kind) {
			req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer eva-key")
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			var p api.Problem
			Expect(json.Unmarshal(data, &p)).To(Succeed(), string(data))
			Expect(p.Kind).To(Equal(string(kind)))
			Expect(resp.StatusCode).To(Equal(status))
		},
		Entry("malformed JSON", "POST", "/v1/config/patches", "{", 400, errkind.MalformedRequest),
		Entry("unknown field", "POST", "/v1/config/patches", `{"base":1,"patch_id":"`+uuid.NewString()+`","merge":{},"x":1}`, 400, errkind.MalformedRequest),
		Entry("negative base", "POST", "/v1/config/patches", `{"base":-1,"patch_id":"`+uuid.NewString()+`","merge":{}}`, 400, errkind.MalformedRequest),
		Entry("too large", "POST", "/v1/config/patches", `{"merge":"`+strings.Repeat("x", 2<<20)+`"}`, 413, errkind.BodyTooLarge),
		Entry("unknown path", "GET", "/v1/nothing", "", 400, errkind.MalformedRequest),
		Entry("malformed fingerprint", "DELETE", "/v1/quarantine/xyz", "", 400, errkind.MalformedRequest),
		Entry("unknown quarantine entry", "DELETE", "/v1/quarantine/00000000000000ff", "", 404, errkind.UnknownQuarantine),
		Entry("request ID without a host", "GET", "/v1/requests/nohost", "", 400, errkind.MalformedRequest),
	)
	It("returns the states of hosts and every owner of a target", func() {
		st, err := client("eva-key").GetStatus(ctx)
		Expect(err).NotTo(HaveOccurred())
		hostStates := map[string]string{}
		for _, h := range st.Hosts {
			hostStates[h.ID] = fmt.Sprintf("%s %d %d", h.State, h.Version, h.HeardMsAgo.Value)
		}
		Expect(hostStates).To(Equal(map[string]string{"a": "live 7 0", "b": "leaving 6 0", "c": "down 5 60000", "d": "unlisted 0 0"}))
		Expect(st.Targets).To(HaveLen(3))
		Expect(st.Targets[0].Owner).To(BeEmpty())
		Expect(st.Targets[0].Drained.Value && st.Targets[0].Leaving.Value).To(BeTrue())
		Expect(st.Targets[1]).To(Equal(api.TargetStatus{ID: "engine-2", Owner: "a", Window: 4, Running: 2, Queued: []int{0, 3},
			Straggler: api.NewOptBool(true), Leaving: api.NewOptBool(false), Drained: api.NewOptBool(false)}))
		Expect(st.Targets[2].Owner).To(Equal("b"))
	})
	It("returns the lowest version among a host's processes and lists the processes that have not reported", func() {
		s.heartbeats["1"] = peer.Heartbeat{ConfigVersion: 7, LowestConfigVersion: 5}
		s.heartbeats["2"] = peer.Heartbeat{ConfigVersion: 7, LowestConfigVersion: 7, UnreportedRoles: []string{"gate"}}
		st, err := client("eva-key").GetStatus(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Hosts[0].Version).To(BeEquivalentTo(5))
		Expect(st.Hosts[0].Unheard).To(BeEmpty())
		Expect(st.Hosts[1].Version).To(BeEquivalentTo(7))
		Expect(st.Hosts[1].Unheard).To(Equal([]string{"gate"}))
	})
	It("lists the patch history and the quarantine, and releases a quarantine entry", func() {
		history, err := client("eva-key").GetConfigHistory(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		Expect(history[0].Reason.Value).To(Equal("stale"))
		entries, err := client("eva-key").ListQuarantine(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries[0].Fingerprint).To(Equal("00000000000000ab"))
		Expect(client("eva-key").ReleaseQuarantine(ctx, api.ReleaseQuarantineParams{Fingerprint: "00000000000000ab"})).To(Succeed())
		Expect(s.released).To(Equal([]tables.Fingerprint{0xab}))
	})

	Describe("a request", func() {
		id := "a." + uuid.NewString()
		show := func() (*api.RequestView, error) {
			return client("eva-key").ShowRequest(ctx, api.ShowRequestParams{ID: id})
		}
		It("is looked up at its home host alone when the home reports that it finished", func() {
			s.outcomes = map[string]peer.Outcome{"1": {Known: true, Done: true, Target: "engine-1", Tokens: 9, TraceID: strings.Repeat("0a", 16)}}
			v, err := show()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.called).To(Equal([]string{"1"}))
			Expect(v.State).To(Equal(api.RequestViewStateFinished))
			Expect(v.Ran).To(Equal(api.RequestViewRanRan))
			Expect(v.TraceID.Value).To(Equal(strings.Repeat("0a", 16)))
		})
		It("has no trace ID when the recorded one is all zeros", func() {
			s.outcomes = map[string]peer.Outcome{"1": {Known: true, Done: true, TraceID: strings.Repeat("0", 32)}}
			v, err := show()
			Expect(err).NotTo(HaveOccurred())
			Expect(v.TraceID.Set).To(BeFalse())
		})
		It("is looked up at all hosts when its home is unreachable", func() {
			s.outcomes = map[string]peer.Outcome{"2": {Known: true, Done: true, Kind: errkind.Displaced}}
			v, err := show()
			Expect(err).NotTo(HaveOccurred())
			Expect(v.Kind.Value).To(Equal("displaced"))
			Expect(v.Ran).To(Equal(api.RequestViewRanNotRun))
		})
		DescribeTable("is not reported as not run when one dispatcher refused it and another accepted it",
			func(other peer.Outcome, want api.RequestViewRan) {
				refusal := peer.Outcome{Known: true, Done: true, Kind: errkind.Displaced}
				for _, outcomes := range []map[string]peer.Outcome{{"1": refusal, "3": other}, {"2": other, "3": refusal}} {
					s.outcomes = outcomes
					v, err := show()
					Expect(err).NotTo(HaveOccurred())
					Expect(v.Ran).To(Equal(want))
				}
			},
			Entry("and completed it", peer.Outcome{Known: true, Done: true}, api.RequestViewRanRan),
			Entry("and does not know its outcome", peer.Outcome{Known: true, Done: true, Kind: errkind.OutcomeUnknown}, api.RequestViewRanUnknown),
			Entry("and is running it", peer.Outcome{Known: true, Target: "engine-1"}, api.RequestViewRanUnknown),
			Entry("and has queued it", peer.Outcome{Known: true}, api.RequestViewRanUnknown),
		)
		It("is not reported as not run while the only outcome is provisional", func() {
			s.outcomes = map[string]peer.Outcome{"2": {Known: true, Done: true, Kind: errkind.ShuttingDown, Provisional: true, Key: "k"}}
			v, err := show()
			Expect(err).NotTo(HaveOccurred())
			Expect(v.State).To(Equal(api.RequestViewStateQueued))
			Expect(v.Ran).To(Equal(api.RequestViewRanUnknown))
			Expect(v.Key.Value).To(Equal("k"))
		})
		It("is not reported as not run while it is queued", func() {
			s.outcomes = map[string]peer.Outcome{"1": {Known: true}, "2": {}, "3": {}}
			v, err := show()
			Expect(err).NotTo(HaveOccurred())
			Expect(v.State).To(Equal(api.RequestViewStateQueued))
			Expect(v.Ran).To(Equal(api.RequestViewRanUnknown))
		})
		It("is reported as unknown with the number of hosts that responded", func() {
			s.outcomes = map[string]peer.Outcome{"2": {}}
			_, err := show()
			Expect(kindOf(err)).To(Equal("unknown_request"))
			Expect(err.Error()).To(ContainSubstring("1 of 4 hosts answered"))
		})
	})
})
