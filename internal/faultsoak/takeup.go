package faultsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// TakeUpOptions configures a play of streams that break off and are taken up while targets of
// two software versions serve.
type TakeUpOptions struct {
	// Binary is the path of the edge program, Dir the directory for the logs of the hosts.
	Binary, Dir string
	Hosts       int
	Seed        uint64
	// Rounds is how often hosts end. RoundStreams streams run at that time.
	Rounds, RoundStreams int
	// Case is the name of one of TakeUpCases.
	Case string
	// NoResumes leaves out the name of the request that began the stream.
	NoResumes bool
	// Resets makes targets reset some requests before their first event, so that streams are
	// sent to several targets before they begin.
	Resets bool
	// Release replaces targets by ones of another version during the play.
	Release bool
	Out     io.Writer
}

// TakeUpResult counts the streams that were taken up.
type TakeUpResult struct {
	// Streams is the number of all streams, TakenUp that of those that broke off after an
	// event, WentOn that of those that were completed after it.
	Streams, TakenUp, WentOn int
	// Refused counts the reasons of the last answers to the others, and NotBegun those of the
	// answers to streams that have not begun.
	Refused, NotBegun map[string]int
	// Disorder describes the streams that are out of order or of two versions.
	Disorder []string
}

const (
	takeUpEvents   = 12
	takeUpEventGap = 40 * time.Millisecond
	// spreadTime is the time over which the streams of a round begin, unless the case says
	// otherwise. Hosts end at its end.
	spreadTime = 350 * time.Millisecond
	// takeUpTargets is the number of targets, half of them of each version.
	takeUpTargets = 8
	// takeUpSlots is the number of slots of a target. All streams have room at one version.
	takeUpSlots = 20
	// settleTime is how long a round waits once all hosts are ready.
	settleTime = 700 * time.Millisecond
	// maxTakeUpTime bounds the attempts of a caller to take up a stream.
	maxTakeUpTime = 4 * time.Second
	// resetShare is the share of the requests that a target resets with Resets.
	resetShare = 0.35
	// minRetryDelay is the time until the next attempt if an answer names none.
	minRetryDelay = 100 * time.Millisecond
	// takeUpReleaseShare is the share of the seconds in which a release begins, and
	// releaseOverlap the time for which the new and the old target serve.
	takeUpReleaseShare = 0.45
	releaseOverlap     = 1500 * time.Millisecond
)

// takeUpDelays are the times after which callers come back.
var takeUpDelays = []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, time.Second}

// takeUp is a play.
type takeUp struct {
	options TakeUpOptions
	store   *standin.Store
	hosts   []*host
	rng     *rand.Rand
	log     func(string)
	// spread is the time over which the streams of the current round begin.
	spread time.Duration

	mu       sync.Mutex
	targets  []*standin.Target
	all      []*standin.Target
	streams  []*standin.Stream
	releases atomic.Int64
	contents atomic.Int64
}

// RunTakeUps runs a play. An error means that it could not be started.
func RunTakeUps(ctx context.Context, o TakeUpOptions) (TakeUpResult, error) {
	played, known := takeUpCases[o.Case]
	if !known {
		return TakeUpResult{}, fmt.Errorf("%w: %q is none of %v", errUnknownCase, o.Case, TakeUpCases())
	}
	p := &takeUp{options: o, store: standin.NewStore(), rng: rand.New(rand.NewPCG(o.Seed, 21))}
	startedAt := time.Now()
	var mu sync.Mutex
	p.log = func(message string) {
		mu.Lock()
		defer mu.Unlock()
		// A failed write to the log does not stop the play.
		_, _ = fmt.Fprintf(o.Out, "%7.3f %s\n", time.Since(startedAt).Seconds(), message)
	}
	defer p.close()
	if err := p.start(ctx); err != nil {
		return TakeUpResult{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Release {
		go p.release(ctx, rand.New(rand.NewPCG(o.Seed, 22)))
	}
	if o.Resets {
		go p.reset(ctx, rand.New(rand.NewPCG(o.Seed, 23)))
	}
	for round := range o.Rounds {
		p.round(ctx, round, played)
	}
	return p.result(), nil
}

func (p *takeUp) start(ctx context.Context) error {
	p.store.PutConfig(standin.Config(1, func(c map[string]any) {
		services, _ := c["services"].([]any)
		model, _ := services[0].(map[string]any)
		model["engine"] = map[string]any{"slots": takeUpSlots, "kv_capacity": 1000000, "stride": 7}
		limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		c["limits"] = limits
	}))
	for i := range takeUpTargets {
		p.targets = append(p.targets, p.startTarget(fmt.Sprintf("m-%d", i), versionName(i, 2)))
	}
	plain := standin.NewTarget("p-0", standin.PlainService, "zone-1", 0, plainResponseTime)
	p.all = append(p.all, plain)
	p.store.PutTarget(plain.ID, plain.Entry("ready"))
	var seeds []string
	for i := range p.options.Hosts {
		h, err := newHost(fmt.Sprintf("edge-%d", i+1), []string{p.options.Binary}, p.options.Dir, p.store.Address(), false, seeds)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
		if len(seeds) < maxSeedHosts {
			seeds = append(seeds, h.settings.Listen.Control)
		}
	}
	return p.awaitReady(ctx)
}

func (p *takeUp) startTarget(id, version string) *standin.Target {
	t := standin.NewTarget(id, standin.ModelService, "zone-1", takeUpEvents, takeUpEventGap)
	t.Slots = takeUpSlots
	t.SetVersion(version)
	t.NameRuns()
	p.store.PutTarget(t.ID, t.Entry("ready"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, t)
	return t
}

func (p *takeUp) awaitReady(ctx context.Context) error {
	c := cluster{hosts: p.hosts}
	return c.awaitReady(ctx)
}

func (p *takeUp) close() {
	for _, h := range p.hosts {
		if h.Exited() != nil {
			h.close()
		}
	}
	for _, t := range p.all {
		t.Close()
	}
	p.store.Close()
}

// round begins streams at the hosts of a case, lets the case disturb them and waits until
// their callers have given up or have all events.
func (p *takeUp) round(ctx context.Context, round int, played takeUpCase) {
	coordinator := p.coordinator()
	p.spread = spreadTime
	serving, disturb, heal := played(p, coordinator)
	var callers sync.WaitGroup
	for i := range p.options.RoundStreams {
		begin := time.Duration(p.rng.Int64N(int64(p.spread)))
		at := serving[p.rng.IntN(len(serving))]
		order := p.rng.Perm(len(p.hosts))
		callers.Go(func() {
			time.Sleep(begin)
			p.call(ctx, at, order, takeUpDelays[i%len(takeUpDelays)])
		})
	}
	time.Sleep(p.spread)
	disturb()
	p.log(fmt.Sprintf("round %d: coordinator %s, streams at %s", round, coordinator.Name, names(serving)))
	callers.Wait()
	heal()
	if err := p.awaitReady(ctx); err != nil {
		p.log("not ready: " + err.Error())
	}
	time.Sleep(settleTime)
}

// call begins a stream at a host and takes it up at others until it is complete.
func (p *takeUp) call(ctx context.Context, at *host, order []int, delay time.Duration) {
	// Each stream has content of its own: targets that reset requests make hosts suspect the
	// content that those have in common.
	body := fmt.Sprintf("body %d", p.contents.Add(1))
	s := &standin.Stream{Call: standin.Call{Method: http.MethodPost, Path: standin.StreamPath + body[len("body "):], Key: standin.Key, Tokens: "100,50", Body: body}}
	s.NoResumes = p.options.NoResumes
	s.Send(ctx, at.frontProxy.address())
	brokenAt := time.Now()
	time.Sleep(delay)
	for next := 0; brokenOffAt(s, takeUpEvents) && time.Since(brokenAt) < maxTakeUpTime; next++ {
		if h := p.hosts[order[next%len(order)]]; h != at {
			answer := s.Send(ctx, h.frontProxy.address())
			if lastEvent(s) < takeUpEvents {
				time.Sleep(retryDelay(answer))
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = append(p.streams, s)
}

// retryDelay returns how long an answer tells its caller to wait.
func retryDelay(r standin.Response) time.Duration {
	seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	if err != nil {
		return minRetryDelay
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryDelay)
}

func brokenOffAt(s *standin.Stream, events int) bool {
	last := lastEvent(s)
	return last > 0 && last < events
}

var coordinatorName = regexp.MustCompile(`"coordinator changed".*"home":"([^"]*)"`)

// coordinator returns the host that the most hosts have named as their coordinator last.
func (p *takeUp) coordinator() *host {
	votes := make(map[string]int)
	for _, h := range p.hosts {
		text, err := os.ReadFile(filepath.Join(h.Dir, "log"))
		if err != nil {
			continue
		}
		if found := coordinatorName.FindAllSubmatch(text, -1); len(found) > 0 {
			votes[string(found[len(found)-1][1])]++
		}
	}
	best := p.hosts[0]
	for _, h := range p.hosts {
		if votes[h.Name] > votes[best.Name] {
			best = h
		}
	}
	return best
}

// release replaces targets: the new one starts first, then the old one leaves.
func (p *takeUp) release(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, time.Second) {
		if rng.Float64() >= takeUpReleaseShare {
			continue
		}
		place, n := rng.IntN(takeUpTargets), p.releases.Add(1)
		fresh := p.startTarget(fmt.Sprintf("m-%d-%d", place, n), versionName(int(rng.Int32N(2)), 2))
		p.mu.Lock()
		old := p.targets[place]
		p.targets[place] = fresh
		p.mu.Unlock()
		go func() {
			time.Sleep(releaseOverlap)
			old.SetLeaving(true)
			p.store.PutTarget(old.ID, old.Entry("draining"))
			time.Sleep(releaseOverlap)
			p.store.DeleteTarget(old.ID)
		}()
	}
}

// reset makes targets reset some requests before their first event.
func (p *takeUp) reset(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, spreadTime/takeUpTargets) {
		p.mu.Lock()
		t := p.targets[rng.IntN(takeUpTargets)]
		p.mu.Unlock()
		if rng.Float64() < resetShare {
			t.QueueFaults(standin.ResetConnection)
		}
	}
}

func (p *takeUp) result() TakeUpResult {
	r := TakeUpResult{Streams: len(p.streams), Refused: make(map[string]int), NotBegun: make(map[string]int)}
	for _, s := range p.streams {
		if line := s.Disorder(); line != "" {
			r.Disorder = append(r.Disorder, line)
		}
		if s.FirstID() == "" {
			r.NotBegun[reason(s.Attempts[len(s.Attempts)-1])]++
		}
		if !takenUp(s) {
			continue
		}
		r.TakenUp++
		if lastEvent(s) == takeUpEvents {
			r.WentOn++
			continue
		}
		r.Refused[reason(s.Attempts[len(s.Attempts)-1])]++
	}
	return r
}

// takenUp reports whether an attempt followed the one that brought the first event.
func takenUp(s *standin.Stream) bool {
	first := slices.IndexFunc(s.Attempts, func(a standin.Response) bool { return a.ID == s.FirstID() })
	return s.FirstID() != "" && first < len(s.Attempts)-1
}

var errorKind = regexp.MustCompile(`"error":"([^"]*)"`)

// reason returns why an answer brought no further events.
func reason(r standin.Response) string {
	if kind := errorKind.FindStringSubmatch(r.Body); kind != nil {
		return kind[1]
	}
	return "status " + strconv.Itoa(r.Status)
}

// wait waits for d. It returns false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func names(hosts []*host) string {
	out := ""
	for _, h := range hosts {
		out += h.Name + " "
	}
	return out
}

// end kills hosts at once.
func end(hosts []*host) {
	for _, h := range hosts {
		h.Signal(syscall.SIGKILL)
	}
}

// startAgain starts hosts that were killed.
func (p *takeUp) startAgain(hosts []*host) {
	for _, h := range hosts {
		<-h.Exited()
		if err := h.Start(); err != nil {
			p.log("starting " + h.Name + " failed: " + err.Error())
		}
	}
}
