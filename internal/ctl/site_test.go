package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
)

var _ = Describe("bluebellctl with two hosts", Ordered, func() {
	var (
		h              *harness.Harness
		first, second  *harness.Host
		stdout, stderr bytes.Buffer
	)
	ctl := func(host *harness.Host, stdin string, args ...string) int {
		stdout.Reset()
		stderr.Reset()
		a := &app{IO: IO{strings.NewReader(stdin), &stdout, &stderr}, clock: clockwork.NewRealClock(), publishBackoff: backoff.NewConstantBackOff(50 * time.Millisecond)}
		environ := []string{"BLUEBELLCTL_ADDRESS=http://" + host.OperatorAddress(), "BLUEBELLCTL_KEY=" + harness.OperatorKey}
		return run(context.Background(), args, environ, a)
	}
	status := func() api.Status {
		Expect(ctl(first, "", "status", "-o", "json")).To(Equal(ExitOK), stderr.String())
		var s api.Status
		Expect(json.Unmarshal(stdout.Bytes(), &s)).To(Succeed())
		return s
	}
	generate := func(host *harness.Host) harness.Result {
		call, err := h.Send(string(host.ID), harness.Request{CustomerKey: harness.MuseumKey, Service: harness.ModelService, Body: uuid.NewString(), MaxTokens: 4})
		Expect(err).NotTo(HaveOccurred())
		Eventually(call.Done(), "20s").Should(BeClosed())
		return call.Result()
	}
	BeforeAll(func() {
		var err error
		h, err = harness.New(harness.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(h.Close)
		for _, name := range []string{"e1", "e2"} {
			_, err = h.AddEngine(name, "kiln", engine.Options{})
			Expect(err).NotTo(HaveOccurred())
		}
		first, err = h.StartHost("h1", "kiln")
		Expect(err).NotTo(HaveOccurred())
		second, err = h.StartHost("h2", "kiln")
		Expect(err).NotTo(HaveOccurred())
	})

	It("publishes the first configuration and confirms it on every host", func() {
		document, err := json.Marshal(h.StandardDocument())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return ctl(first, "", "config", "get") }, "20s").Should(Equal(ExitOK))
		Eventually(func() []api.HostStatus { return status().Hosts }, "20s").Should(HaveLen(2), "the host list is updated with a delay")
		Expect(ctl(first, string(document), "publish", "--base", "0", "--dry-run")).To(Equal(ExitOK), stderr.String())
		Expect(ctl(first, string(document), "publish", "--base", "0", "--wait")).To(Equal(ExitOK), stderr.String())
		Expect(stdout.String()).To(Equal("version 1 accepted\n"))
		s := status()
		Expect(s.LogReachable).To(BeTrue())
		Expect(s.Hosts).To(HaveLen(2))
		for _, host := range s.Hosts {
			Expect(host.Version).To(BeEquivalentTo(1))
			Expect(host.State).To(Equal(api.HostStatusStateLive))
		}
	})
	It("accepts one of two patches with the same base and reports a conflict for the other", func() {
		patch := `{"limits": {"max_queued_per_target": 9}}`
		Expect(ctl(second, patch, "publish", "--base", "1")).To(Equal(ExitOK), stderr.String())
		Expect(ctl(first, patch, "publish", "--base", "1")).To(Equal(ExitConflict))
		Expect(stderr.String()).To(ContainSubstring("version_conflict"))
	})
	It("publishes a patch ID only once and refuses an invalid document", func() {
		id := uuid.NewString()
		patch := `{"limits": {"max_queued_per_target": 8}}`
		for _, host := range []*harness.Host{first, second, first} {
			Expect(ctl(host, patch, "publish", "--base", "2", "--patch-id", id)).To(Equal(ExitOK), stderr.String())
			Expect(stdout.String()).To(Equal("version 3 accepted\n"))
		}
		Expect(ctl(first, `{"targets": {"e1": {"window_min": -1}}}`, "publish", "--base", "3")).To(Equal(ExitRefused))
		Expect(stderr.String()).To(ContainSubstring("targets.e1.window_min"))
		Expect(ctl(first, "", "config", "history")).To(Equal(ExitOK))
		Expect(strings.Count(stdout.String(), id)).To(Equal(1))
	})
	It("finds a request through any host", func() {
		r := generate(second)
		Expect(r.Complete).To(BeTrue(), r.Detail)
		for _, host := range []*harness.Host{first, second} {
			Expect(ctl(host, "", "request", "show", string(r.ID))).To(Equal(ExitOK), stderr.String())
			Expect(stdout.String()).To(MatchRegexp(`state +finished\nran +ran\n`))
		}
		Expect(ctl(first, "", "request", "show", "h9."+uuid.NewString())).To(Equal(ExitRefused))
		Expect(stderr.String()).To(ContainSubstring("2 of 2 hosts answered"))
	})
	It("sends no request to a drained target", func() {
		Expect(ctl(first, "", "targets", "drain", "e1", "--wait")).To(Equal(ExitOK), stderr.String())
		e1, err := h.Target("e1")
		Expect(err).NotTo(HaveOccurred())
		before := len(e1.Engine.Records().Requests)
		for range 6 {
			Expect(generate(first).Complete).To(BeTrue())
		}
		Expect(e1.Engine.Records().Requests).To(HaveLen(before))
		Expect(ctl(second, "", "targets", "undrain", "e1", "--wait")).To(Equal(ExitOK), stderr.String())
	})
	It("reports the log as unavailable when a patch is published while it is down", func() {
		h.Log.SetDown(true)
		Expect(ctl(first, "{}", "publish", "--base", "5")).To(Equal(ExitUnavailable))
		Expect(stderr.String()).To(ContainSubstring("log_unavailable"))
		Expect(ctl(first, "", "quarantine", "list")).To(Equal(ExitOK), stderr.String())
		h.Log.SetDown(false)
		Eventually(func() int { return ctl(first, `{"limits": {}}`, "publish", "--base", "5") }, "20s").Should(Equal(ExitOK))
	})
	It("does not confirm a version while the gate of a host is down", func() {
		second.Kill(harness.ProcessGate)
		Expect(ctl(first, "{}", "publish", "--base", "6", "--wait", "--wait-timeout", "5s")).To(Equal(ExitNotEverywhere))
		Expect(stderr.String()).To(ContainSubstring("h2 (live, version 7, gate not reporting)"))
	})
	It("does not confirm a version while a listed host is down", func() {
		second.Kill()
		Expect(ctl(first, "{}", "publish", "--base", "7", "--wait", "--wait-timeout", "1s")).To(Equal(ExitNotEverywhere))
		Expect(stderr.String()).To(ContainSubstring("h2 (down"))
	})
})
