package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
)

// Parameters of the measurements of whole hosts.
const (
	fewHosts        = 4
	manyHosts       = 24
	enginesPerHost  = 2
	settleTime      = 5 * time.Second
	idleTime        = 15 * time.Second
	startTimeout    = 30 * time.Second
	measuredCalls   = 400
	concurrentCalls = 16
	shortAnswer     = 1
	longAnswer      = 65
	promptBytes     = 3200
)

// measureHostSlopes measures the costs of idle hosts and of requests. Each host has a
// gate, a dispatcher and a controller. All hosts and stand-ins run in this process, and
// the costs include those of the stand-ins.
func measureHostSlopes(Size) ([]Slope, error) {
	few, err := measureHosts(fewHosts)
	if err != nil {
		return nil, err
	}
	many, err := measureHosts(manyHosts)
	if err != nil {
		return nil, err
	}
	calls, err := measureCalls()
	if err != nil {
		return nil, err
	}
	m := &meter{}
	m.add("host.idle_core_of_4", few.coreShare, Count, "host, share of a core", "processor time of 15 s without requests, 2 engines a host, stand-ins included")
	m.add("host.idle_core_of_24", many.coreShare, Count, "host, share of a core", "the same with 24 hosts")
	m.add("host.memory_of_4", few.memory, Bytes, "host, three processes", "heap and stacks, 2 engines a host, stand-ins included")
	m.add("host.memory_of_24", many.memory, Bytes, "host, three processes", "the same with 24 hosts")
	perToken := (calls.long - calls.short) / (longAnswer - shortAnswer)
	m.add("path.token", perToken, Seconds, "answer token", "processor time of 400 calls of 65 tokens less 400 calls of 1, caller and engine stand-in included")
	m.add("path.request", calls.short-perToken, Seconds, "request", "the same calls of 1 token less its token")
	return m.result()
}

// hostCost is the cost of one idle host.
type hostCost struct{ coreShare, memory float64 }

// measureHosts returns the cost per host of n idle hosts with their engines.
func measureHosts(n int) (hostCost, error) {
	before := memoryInUse()
	h, err := startHosts(n)
	if err != nil {
		return hostCost{}, err
	}
	defer h.Close()
	time.Sleep(settleTime)
	spentBefore, err := processorTime()
	if err != nil {
		return hostCost{}, err
	}
	time.Sleep(idleTime)
	spent, err := processorTime()
	if err != nil {
		return hostCost{}, err
	}
	memory := float64(memoryInUse()-before) / float64(n)
	runtime.KeepAlive(h)
	return hostCost{coreShare: (spent - spentBefore).Seconds() / idleTime.Seconds() / float64(n), memory: memory}, nil
}

// startHosts returns a harness with n running hosts, their engines and a configuration.
func startHosts(n int) (*harness.Harness, error) {
	h, err := harness.New(harness.Options{})
	if err != nil {
		return nil, err
	}
	if err := addHosts(h, n); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// addHosts adds n hosts and their engines to h and publishes a configuration.
func addHosts(h *harness.Harness, n int) error {
	for i := range n * enginesPerHost {
		if _, err := h.AddEngine(engineName(i), domainName(i%n), engine.Options{}); err != nil {
			return fmt.Errorf("engine %d: %w", i, err)
		}
	}
	for i := range n {
		if _, err := h.StartHost(hostName(i), domainName(i)); err != nil {
			return fmt.Errorf("host %d: %w", i, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := h.Configure(ctx, hostName(0)); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return nil
}

// callCost holds the processor times in seconds of a call with a short answer and of one
// with a long answer.
type callCost struct{ short, long float64 }

// measureCalls measures calls after a warm-up with the same number of short calls.
func measureCalls() (callCost, error) {
	h, err := startHosts(fewHosts)
	if err != nil {
		return callCost{}, err
	}
	defer h.Close()
	if _, err := timeCalls(h, shortAnswer); err != nil {
		return callCost{}, err
	}
	short, err := timeCalls(h, shortAnswer)
	if err != nil {
		return callCost{}, err
	}
	long, err := timeCalls(h, longAnswer)
	return callCost{short: short, long: long}, err
}

// timeCalls returns the processor time in seconds of one call whose answer has the given
// number of tokens. It includes the background work of the hosts during the measurement.
func timeCalls(h *harness.Harness, tokens int) (float64, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	for range measuredCalls / concurrentCalls {
		if err := callConcurrently(h, tokens); err != nil {
			return 0, err
		}
	}
	after, err := processorTime()
	if err != nil {
		return 0, err
	}
	return (after - before).Seconds() / measuredCalls, nil
}

// callConcurrently makes concurrentCalls concurrent calls and waits until all have ended.
func callConcurrently(h *harness.Harness, tokens int) error {
	calls := make([]*harness.Call, 0, concurrentCalls)
	for i := range concurrentCalls {
		call, err := h.Send(hostName(i%fewHosts), harness.Request{
			CustomerKey: harness.MuseumKey, Service: harness.ModelService, Tier: harness.TierNormal,
			Body: strings.Repeat("enamel ", promptBytes/len("enamel ")), MaxTokens: tokens,
		})
		if err != nil {
			return err
		}
		calls = append(calls, call)
	}
	for _, call := range calls {
		<-call.Done()
		if r := call.Result(); !r.Complete {
			return fmt.Errorf("call ended with kind %q: %s", r.Kind, r.Detail)
		}
	}
	return nil
}
