package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// patchCount is the number of patches in one measurement.
const patchCount = 20

// documentPatch returns a merge patch with the given number of targets.
func documentPatch(targets int) json.RawMessage {
	doc := config.Document{
		Tiers:       map[string]config.Tier{"t": {FirstTokenMillis: 500, DeadlineMillis: 20000}},
		Generations: map[string]config.Generation{"g": {PrefillTokensPerSecond: 4000, StepMillis: 20}},
		Services:    map[string]config.Service{"s": {Kind: config.ModelService, Model: "m", Tier: "t"}},
		Targets:     map[string]config.Target{},
	}
	for i := range targets {
		doc.Targets[fmt.Sprintf("engine-%04d", i)] = config.Target{
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1), FailureDomain: fmt.Sprint("domain-", i%8),
			Generation: "g", Services: []string{"s"}, WindowMax: 32,
		}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}

// BenchmarkPublishToInForce measures the time from the call of Publish for a patch
// of one target until the patch is in force on all followers, and the CPU time that
// each of them spends on it.
func BenchmarkPublishToInForce(b *testing.B) {
	for _, nodes := range []int{13, 50, 100, 200} {
		for _, targets := range []int{50, 540} {
			b.Run(fmt.Sprintf("nodes=%d/targets=%d", nodes, targets), func(b *testing.B) {
				for b.Loop() {
					measurePublishToInForce(b, nodes, targets)
				}
			})
		}
	}
}

func measurePublishToInForce(b *testing.B, nodes, targets int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(100 * time.Millisecond)
	defer cancel()
	store := logstore.New(clockwork.NewRealClock(), logstore.Options{})
	var followers []*follow.Follower
	for i := range nodes {
		f := follow.New(follow.Options{Host: tables.HostID(fmt.Sprint("h", i)), Log: store, SkipSnapshots: i > 0})
		followers = append(followers, f)
		go func() { _ = f.Run(ctx) }()
	}
	publishAndWait(b, followers, 0, documentPatch(targets))
	slowest, cpuBefore := time.Duration(0), cpuTime()
	for i := range patchCount {
		merge := json.RawMessage(fmt.Sprintf(`{"targets":{"engine-0001":{"drained":%v}}}`, i%2 == 0))
		slowest = max(slowest, publishAndWait(b, followers, config.Version(i+1), merge))
	}
	b.ReportMetric(slowest.Seconds()*1000, "ms-slowest")
	b.ReportMetric((cpuTime()-cpuBefore).Seconds()*1000/float64(patchCount*nodes), "cpu-ms/change/node")
	page, err := store.Read(ctx, ports.ConfigStream, ports.Offset(patchCount), 0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(page.Records[0].Data)), "B/change")
	b.ReportMetric(float64(len(followers[0].Export(0).Snapshot)), "B/document")
}

// publishAndWait publishes a patch and returns the time until all followers have
// a version above base.
func publishAndWait(b *testing.B, followers []*follow.Follower, base config.Version, merge json.RawMessage) time.Duration {
	start := time.Now()
	p := config.Patch{ID: uuid.NewString(), Base: base, Operator: "o", Merge: merge}
	if _, err := followers[0].Publish(context.Background(), p); err != nil {
		b.Fatal(err)
	}
	for _, f := range followers {
		for {
			changed := f.Changed()
			if f.Current().Version > base {
				break
			}
			<-changed
		}
	}
	return time.Since(start)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
