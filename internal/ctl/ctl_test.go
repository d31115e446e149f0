package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	flaggy.PanicInsteadOfExit = true
	RunSpecs(t, "ctl")
}

// fakeHost is a fake operators' API with scripted responses.
type fakeHost struct {
	api.UnimplementedHandler
	config  api.ConfigVersion
	status  func() *api.Status
	publish func(*api.Patch) (*api.PatchResult, error)
	key     string
	dryRuns int
	patches []api.Patch
}

func (h *fakeHost) GetConfig(context.Context) (*api.ConfigVersion, error) { return &h.config, nil }
func (h *fakeHost) GetStatus(context.Context) (*api.Status, error)        { return h.status(), nil }
func (h *fakeHost) GetConfigHistory(context.Context) ([]api.PatchResult, error) {
	return []api.PatchResult{{PatchID: "p2", Base: 6, Version: 7, Reason: api.NewOptString("stale"), Operator: api.NewOptString("eva")}}, nil
}
func (h *fakeHost) ListQuarantine(context.Context) ([]api.QuarantineEntry, error) {
	return []api.QuarantineEntry{{Fingerprint: "00000000000000ab", Customer: "museum", Service: "report", Crashes: 2}}, nil
}
func (h *fakeHost) ReleaseQuarantine(_ context.Context, p api.ReleaseQuarantineParams) error {
	return errkind.New(errkind.UnknownQuarantine, "no entry "+p.Fingerprint)
}
func (h *fakeHost) ShowRequest(_ context.Context, p api.ShowRequestParams) (*api.RequestView, error) {
	return &api.RequestView{ID: p.ID, Known: true, State: api.RequestViewStateFinished, Ran: api.RequestViewRanRan, Target: api.NewOptString("engine-1")}, nil
}
func (h *fakeHost) PublishPatch(_ context.Context, p *api.Patch, params api.PublishPatchParams) (*api.PatchResult, error) {
	if params.DryRun.Value {
		h.dryRuns++
		return &api.PatchResult{PatchID: p.PatchID.String(), Accepted: true, Base: p.Base, Version: p.Base + 1}, nil
	}
	h.patches = append(h.patches, *p)
	return h.publish(p)
}
func (h *fakeHost) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	k := errkind.Of(err)
	return &api.ProblemStatusCode{StatusCode: k.Answer().Status, Response: api.Problem{Kind: string(k), Ran: api.ProblemRan(k.Answer().Ran), Detail: errkind.DetailOf(err)}}
}
func (h *fakeHost) HandleOperatorKey(ctx context.Context, _ api.OperationName, t api.OperatorKey) (context.Context, error) {
	if t.Token != h.key {
		return ctx, errkind.New(errkind.Unauthenticated, "the key belongs to no operator")
	}
	return ctx, nil
}

var _ = Describe("bluebellctl", func() {
	var (
		h               *fakeHost
		url             string
		responsesToDrop int
		stdin           string
		stdout, stderr  bytes.Buffer
		clock           *clockwork.FakeClock
	)
	execute := func(args ...string) int {
		stdout.Reset()
		stderr.Reset()
		a := &app{IO: IO{strings.NewReader(stdin), &stdout, &stderr}, clock: clock, publishBackoff: backoff.NewConstantBackOff(time.Millisecond)}
		return run(context.Background(), args, []string{"BLUEBELLCTL_ADDRESS=" + url, "BLUEBELLCTL_KEY=eva-key"}, a)
	}
	accept := func(p *api.Patch) (*api.PatchResult, error) {
		return &api.PatchResult{PatchID: p.PatchID.String(), Accepted: true, Base: p.Base, Version: p.Base + 1}, nil
	}
	statusWith := func(version int64, state api.HostStatusState) *api.Status {
		return &api.Status{Host: "a", Version: 8, Hosts: []api.HostStatus{
			{ID: "a", State: api.HostStatusStateLive, Version: 8},
			{ID: "b", State: state, Version: version},
			{ID: "gone", State: api.HostStatusStateUnlisted, Version: 1},
		}, Targets: []api.TargetStatus{{ID: "engine-1", Owner: "a", Window: 4, Queued: []int{0, 2}, Straggler: api.NewOptBool(true)}}}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		responsesToDrop, stdin = 0, ""
		h = &fakeHost{key: "eva-key", publish: accept, status: func() *api.Status { return statusWith(8, api.HostStatusStateLive) }}
		h.config = api.ConfigVersion{Version: 7, Digest: "00", Document: map[string]jx.Raw{"targets": jx.Raw(`{"engine-1":{"drained":false,"window_max":4}}`)}}
		server, err := api.NewServer(h, h)
		Expect(err).NotTo(HaveOccurred())
		proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if responsesToDrop > 0 && r.Method == http.MethodPost {
				responsesToDrop--
				server.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			server.ServeHTTP(w, r)
		}))
		DeferCleanup(proxy.Close)
		url = proxy.URL
	})

	Describe("publish", func() {
		It("publishes a patch from a file or from standard input against the given base", func() {
			file := filepath.Join(GinkgoT().TempDir(), "patch.json")
			Expect(os.WriteFile(file, []byte(`{"targets":{"engine-1":null}}`), 0o600)).To(Succeed())
			Expect(execute("publish", file, "--base", "7")).To(Equal(ExitOK), stderr.String())
			Expect(stdout.String()).To(Equal("version 8 accepted\n"))
			stdin = `{"limits":{"max_queued_per_target":9}}`
			Expect(execute("publish", "-b", "7", "-o", "json")).To(Equal(ExitOK), stderr.String())
			var result api.PatchResult
			Expect(json.Unmarshal(stdout.Bytes(), &result)).To(Succeed())
			Expect(h.patches).To(HaveLen(2))
			Expect(h.patches[0].Base).To(BeEquivalentTo(7))
			Expect(string(h.patches[1].Merge["limits"])).To(MatchJSON(`{"max_queued_per_target":9}`))
			Expect(result.PatchID).To(Equal(h.patches[1].PatchID.String()))
		})
		It("retries with the same patch ID after the response was lost", func() {
			responsesToDrop, stdin = 2, "{}"
			id := uuid.NewString()
			Expect(execute("publish", "--base", "7", "--patch-id", id)).To(Equal(ExitOK), stderr.String())
			Expect(h.patches).To(HaveLen(3))
			for _, p := range h.patches {
				Expect(p.PatchID.String()).To(Equal(id))
			}
		})
		It("retries an undecided patch until it is decided", func() {
			kinds := []errkind.Kind{errkind.PatchUndecided, errkind.LogUnavailable, errkind.VersionConflict}
			h.publish = func(*api.Patch) (*api.PatchResult, error) {
				return nil, errkind.New(kinds[len(h.patches)-1], "scripted")
			}
			stdin = "{}"
			Expect(execute("publish", "--base", "7")).To(Equal(ExitConflict))
			Expect(h.patches).To(HaveLen(3))
		})
		DescribeTable("maps each refusal to its exit code and prints one line",
			func(kind errkind.Kind, code int) {
				h.publish = func(*api.Patch) (*api.PatchResult, error) { return nil, errkind.New(kind, "scripted") }
				stdin = "{}"
				Expect(execute("publish", "--base", "7")).To(Equal(code))
				Expect(h.patches).To(HaveLen(1))
				lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
				Expect(lines[len(lines)-1]).To(ContainSubstring(string(kind) + ": scripted"))
			},
			Entry(nil, errkind.VersionConflict, ExitConflict),
			Entry(nil, errkind.InvalidConfig, ExitRefused),
			Entry(nil, errkind.LogUnavailable, ExitUnavailable),
		)
		It("prints the changes of a dry run without publishing them", func() {
			stdin = `{"targets":{"engine-1":{"drained":true},"engine-2":{"window_max":2}}}`
			Expect(execute("publish", "--base", "7", "--dry-run")).To(Equal(ExitOK), stderr.String())
			Expect(stdout.String()).To(Equal("dry run: would become version 8\n" +
				"- targets.engine-1.drained: false\n+ targets.engine-1.drained: true\n+ targets.engine-2.window_max: 2\n"))
			Expect(h.patches).To(BeEmpty())
			Expect(h.dryRuns).To(Equal(1))
		})
		DescribeTable("rejects invalid input before it calls a host",
			func(input string, args []string, want string) {
				stdin = input
				Expect(execute(append([]string{"publish"}, args...)...)).To(Equal(ExitUsage))
				Expect(stderr.String()).To(ContainSubstring(want))
				Expect(h.patches).To(BeEmpty())
			},
			Entry("no base", "{}", nil, "--base"),
			Entry("negative base", "{}", []string{"--base", "-3"}, "--base"),
			Entry("JSON array", "[]", []string{"--base", "1"}, "standard input is not a JSON object"),
			Entry("null", "null", []string{"--base", "1"}, "not a JSON object"),
			Entry("too large", `{"a":"`+strings.Repeat("x", 1<<20)+`"}`, []string{"--base", "1"}, "larger than"),
			Entry("missing file", "", []string{"no-such-file", "--base", "1"}, "no-such-file"),
			Entry("malformed patch ID", "{}", []string{"--base", "1", "--patch-id", "x"}, "--patch-id"),
			Entry("unknown output format", "{}", []string{"--base", "1", "--output", "xml"}, "--output"),
			Entry("host name in the address", "{}", []string{"--base", "1", "--address", "http://localhost:1"}, "IP address"),
		)
	})

	Describe("--wait", func() {
		It("returns once every listed host reports the version", func() {
			calls := 0
			h.status = func() *api.Status {
				calls++
				return statusWith(int64(5+calls), api.HostStatusStateLive)
			}
			stdin = "{}"
			done := make(chan int)
			go func() { done <- execute("publish", "--base", "7", "--wait") }()
			for range 2 {
				Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
				clock.Advance(pollInterval)
			}
			Eventually(done).Should(Receive(Equal(ExitOK)))
			Expect(calls).To(Equal(3))
			Expect(stderr.String()).To(ContainSubstring("version 8 is in force on every host"))
		})
		DescribeTable("lists the hosts that are not confirmed at the timeout",
			func(state api.HostStatusState, version int64) {
				h.status = func() *api.Status { return statusWith(version, state) }
				stdin = "{}"
				Expect(execute("publish", "--base", "7", "--wait", "--wait-timeout", "0s")).To(Equal(ExitNotEverywhere))
				Expect(stderr.String()).To(ContainSubstring("b (" + string(state)))
				Expect(stderr.String()).NotTo(ContainSubstring("gone"))
			},
			Entry("behind", api.HostStatusStateLive, int64(7)),
			Entry("leaving and behind", api.HostStatusStateLeaving, int64(7)),
			Entry("listed but not responding", api.HostStatusStateDown, int64(8)),
		)
		It("names the processes of a host that have not reported", func() {
			h.status = func() *api.Status {
				status := statusWith(8, api.HostStatusStateLive)
				status.Hosts[1].Unheard = []string{"controller", "gate"}
				return status
			}
			stdin = "{}"
			Expect(execute("publish", "--base", "7", "--wait", "--wait-timeout", "0s")).To(Equal(ExitNotEverywhere))
			Expect(stderr.String()).To(ContainSubstring("b (live, version 8, controller and gate not reporting)"))
			Expect(execute("status")).To(Equal(ExitOK))
			Expect(stdout.String()).To(ContainSubstring("controller and gate not reporting"))
		})
		It("stops waiting when the key is no longer accepted, as happens to the bootstrap key", func() {
			h.publish = func(p *api.Patch) (*api.PatchResult, error) {
				h.key = "new-key"
				return accept(p)
			}
			stdin = "{}"
			Expect(execute("publish", "--base", "0", "--wait")).To(Equal(ExitNotEverywhere))
			Expect(stdout.String()).To(ContainSubstring("version 1 accepted"))
			Expect(stderr.String()).To(ContainSubstring("not confirmed: unauthenticated"))
		})
		It("waits until no request runs at the drained target", func() {
			busyStatus := statusWith(8, api.HostStatusStateLive)
			busyStatus.Targets[0].Running = 3
			h.status = func() *api.Status { return busyStatus }
			Expect(execute("targets", "drain", "engine-1", "--wait", "--wait-timeout", "0s")).To(Equal(ExitNotEverywhere))
			Expect(stderr.String()).To(ContainSubstring("3 requests run at engine-1"))
		})
	})

	It("drains a target and rebases the patch after a version conflict", func() {
		h.publish = func(p *api.Patch) (*api.PatchResult, error) {
			if p.Base == 7 {
				h.config.Version = 9
				return nil, errkind.New(errkind.VersionConflict, "base 7 is not 9")
			}
			return accept(p)
		}
		Expect(execute("targets", "drain", "engine-1")).To(Equal(ExitOK), stderr.String())
		Expect(h.patches).To(HaveLen(2))
		Expect(h.patches[1].Base).To(BeEquivalentTo(9))
		Expect(h.patches[1].PatchID).NotTo(Equal(h.patches[0].PatchID))
		Expect(string(h.patches[1].Merge["targets"])).To(MatchJSON(`{"engine-1":{"drained":true}}`))
		Expect(execute("targets", "undrain", "nobody")).To(Equal(ExitRefused))
		Expect(stderr.String()).To(ContainSubstring(`no target "nobody"`))
	})
	It("prints tables and valid JSON", func() {
		for _, c := range []struct{ args, want string }{
			{"status", `(?s)view of host a: version 8.*b +- +live +8.*engine-1 +- +a +4 +0 +0/2 +straggler`},
			{"config get", `version 7, digest 00\n\{`},
			{"config history", `- +7 +6 +rejected +eva +p2 +stale`},
			{"request show a.1", `state +finished\nran +ran`},
			{"quarantine list", `00000000000000ab +museum +report +2`},
			{"explain outcome_unknown", `outcome_unknown +504 +unknown +no +The request may have run`},
			{"version", `\S`},
		} {
			Expect(execute(strings.Fields(c.args)...)).To(Equal(ExitOK), stderr.String())
			Expect(stdout.String()).To(MatchRegexp(c.want))
			Expect(execute(append(strings.Fields(c.args), "--output", "json")...)).To(Equal(ExitOK))
			Expect(json.Valid(stdout.Bytes())).To(BeTrue(), c.args)
		}
	})
	It("omits the empty document from the difference to the first version", func() {
		h.config = api.ConfigVersion{Document: map[string]jx.Raw{}}
		stdin = `{"limits":{"max_queued_per_target":9}}`
		Expect(execute("config", "diff")).To(Equal(ExitOK), stderr.String())
		Expect(stdout.String()).To(Equal("against version 0\n+ limits.max_queued_per_target: 9\n"))
	})
	It("prints a diff that can be published", func() {
		stdin = `{"targets":{"engine-1":{"drained":true,"window_max":4}}}`
		Expect(execute("config", "diff")).To(Equal(ExitOK), stderr.String())
		Expect(stdout.String()).To(ContainSubstring("+ targets.engine-1.drained: true"))
		Expect(execute("config", "diff", "-o", "json")).To(Equal(ExitOK))
		Expect(stdout.String()).To(MatchJSON(`{"targets":{"engine-1":{"drained":true}}}`))
	})
	It("prints a new key with the digest that key digest computes from it", func() {
		Expect(execute("key", "new", "-o", "json")).To(Equal(ExitOK))
		var pair keyOutput
		Expect(json.Unmarshal(stdout.Bytes(), &pair)).To(Succeed())
		Expect(len(pair.Key)).To(BeNumerically(">=", 26))
		stdin = pair.Key + "\n"
		Expect(execute("key", "digest")).To(Equal(ExitOK))
		Expect(strings.TrimSpace(stdout.String())).To(Equal(pair.SHA256))
	})
	It("distinguishes a missing key, a wrong key and an unreachable host", func() {
		runWith := func(environ ...string) int {
			stderr.Reset()
			return Run(context.Background(), []string{"publish", "--base", "7"}, environ, IO{strings.NewReader("{}"), &stdout, &stderr})
		}
		Expect(runWith("BLUEBELLCTL_ADDRESS=" + url)).To(Equal(ExitUsage))
		Expect(runWith("BLUEBELLCTL_ADDRESS="+url, "BLUEBELLCTL_KEY=other-key")).To(Equal(ExitRefused))
		Expect(stderr.String()).NotTo(ContainSubstring("other-key"))
		closedServer := httptest.NewServer(nil)
		closedServer.Close()
		Expect(runWith("BLUEBELLCTL_ADDRESS="+closedServer.URL, "BLUEBELLCTL_KEY=eva-key")).To(Equal(ExitUnavailable))
		Expect(stderr.String()).To(ContainSubstring("connection refused"))
	})
	It("exits with 2 for an unknown command", func() {
		Expect(func() { execute("publsh") }).To(PanicWith(ContainSubstring("code: 2")))
	})
	It("generates the page of error kinds exactly as committed", func() {
		var want bytes.Buffer
		Expect(WriteErrorsPage(&want)).To(Succeed())
		page, err := os.ReadFile("../../docs/operators/errors.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(want.String()))
		Expect(execute("explain", "no_such_kind")).To(Equal(ExitUsage))
	})
	It("lists every exit code in the help", func() {
		for code := ExitOK; code <= ExitUnavailable; code++ {
			Expect(exitCodesHelp).To(MatchRegexp(`(?m)^  %d  \S`, code))
		}
	})
})
