package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// class describes one class of requests of a profile.
type class struct {
	service tables.ServiceID
	// tier is the tier of the requests; 0 is the highest tier.
	tier int
	// loadShare is the share of the time of all engines that serve the class that its
	// requests need at load 1.
	loadShare float64
	// medianPrompt and medianOutput are lengths in tokens. sharedPrompt is the length
	// of the prefix that the prompts of all requests of one topic have in common.
	medianPrompt, sharedPrompt, medianOutput int
	// firstTokenSLO and deadline are measured from the arrival. A firstTokenSLO of
	// zero means none.
	firstTokenSLO, deadline time.Duration
	plain                   bool
	nonIdempotent           bool
}

// profile describes the engines and the traffic of a simulated deployment.
type profile struct {
	domains int
	engines []engineSpec
	classes []class
	// topics is the number of shared prompt prefixes per class.
	topics int
}

const (
	// hosts is the number of hosts, each with a gate and a dispatcher.
	hosts = 13
	// customers is the number of customers; customerWeights are their shares of the
	// traffic.
	customers = 5
	// retryingCustomer is the index of the customer that retries shed requests.
	retryingCustomer = 1
)

var customerWeights = [customers]float64{0.4, 0.3, 0.1, 0.1, 0.1}

// generations are the hardware generations of the model engines.
var generations = []engineSpec{
	{generation: "a", speed: tables.Speed{PrefillTokensPerSecond: 12000, Step: 10 * time.Millisecond, StepPerSequence: 600 * time.Microsecond}, window: 16, cacheTokens: 60_000},
	{generation: "b", speed: tables.Speed{PrefillTokensPerSecond: 6000, Step: 16 * time.Millisecond, StepPerSequence: time.Millisecond}, window: 12, cacheTokens: 60_000},
	{generation: "c", speed: tables.Speed{PrefillTokensPerSecond: 3000, Step: 25 * time.Millisecond, StepPerSequence: 1500 * time.Microsecond}, window: 8, cacheTokens: 40_000},
}

// plainSpec describes a server of a plain service.
var plainSpec = engineSpec{plain: true, speed: tables.Speed{PrefillTokensPerSecond: 1e9, Step: 50 * time.Millisecond, StepPerSequence: time.Millisecond}, window: 8}

// profiles holds the simulated deployments by name.
var profiles = map[string]profile{
	"workshop": {
		domains: 4, topics: 40,
		engines: fleet(18, 4, 4, "model", "desk"),
		classes: []class{
			{service: "model", tier: 0, loadShare: 0.10, medianPrompt: 600, sharedPrompt: 256, medianOutput: 80, firstTokenSLO: 2 * time.Second, deadline: 10 * time.Second},
			{service: "model", tier: 0, loadShare: 0.25, medianPrompt: 1500, sharedPrompt: 512, medianOutput: 400, firstTokenSLO: 5 * time.Second, deadline: 40 * time.Second},
			{service: "model", tier: 1, loadShare: 0.20, medianPrompt: 1500, sharedPrompt: 512, medianOutput: 600, firstTokenSLO: 15 * time.Second, deadline: 60 * time.Second},
			{service: "model", tier: 1, loadShare: 0.05, medianPrompt: 300, sharedPrompt: 128, medianOutput: 8, firstTokenSLO: 5 * time.Second, deadline: 6 * time.Second},
			{service: "model", tier: 2, loadShare: 0.40, medianPrompt: 1200, sharedPrompt: 512, medianOutput: 500, firstTokenSLO: 30 * time.Second, deadline: 80 * time.Second},
			{service: "desk", tier: 0, loadShare: 0.01, medianOutput: 1, deadline: 5 * time.Second, plain: true, nonIdempotent: true},
			{service: "desk", tier: 2, loadShare: 0.02, medianOutput: 1, deadline: 5 * time.Second, plain: true},
		},
	},
	"grants": {
		domains: 3, topics: 12,
		engines: fleet(12, 3, 3, "model", "filing"),
		classes: []class{
			{service: "model", tier: 0, loadShare: 0.25, medianPrompt: 6000, sharedPrompt: 4096, medianOutput: 700, firstTokenSLO: 10 * time.Second, deadline: 60 * time.Second},
			{service: "model", tier: 0, loadShare: 0.10, medianPrompt: 2500, sharedPrompt: 2048, medianOutput: 120, firstTokenSLO: 4 * time.Second, deadline: 12 * time.Second},
			{service: "model", tier: 1, loadShare: 0.25, medianPrompt: 3000, sharedPrompt: 2560, medianOutput: 60, firstTokenSLO: 10 * time.Second, deadline: 20 * time.Second},
			{service: "model", tier: 2, loadShare: 0.40, medianPrompt: 6000, sharedPrompt: 4096, medianOutput: 800, firstTokenSLO: 40 * time.Second, deadline: 100 * time.Second},
			{service: "filing", tier: 0, loadShare: 0.01, medianOutput: 1, deadline: 5 * time.Second, plain: true, nonIdempotent: true},
			{service: "filing", tier: 2, loadShare: 0.02, medianOutput: 1, deadline: 5 * time.Second, plain: true},
		},
	},
}

// fleet returns the specs of the given numbers of model engines and plain servers. The
// model engines cycle through the generations, and all cycle through the failure domains.
func fleet(models, plains, domains int, model, plain tables.ServiceID) []engineSpec {
	var out []engineSpec
	for i := range models + plains {
		s := plainSpec
		s.services = []tables.ServiceID{plain}
		if i < models {
			s = generations[i%len(generations)]
			s.services = []tables.ServiceID{model}
		}
		s.domain = tables.DomainID(fmt.Sprintf("d%d", i%domains))
		out = append(out, s)
	}
	return out
}

// engineTime returns the engine time that a request needs: its prefill, and its share
// of the time of a full batch that emits its tokens.
func engineTime(s engineSpec, prompt, out int) time.Duration {
	return s.speed.Prefill(prompt) + time.Duration(out)*s.speed.TokenGap(s.window)/time.Duration(s.window)
}

// rate returns the number of arrivals of class c per second that need the given share
// of the time of all engines that serve it.
func (p profile) rate(c class, share float64) float64 {
	perSecond := 0.0
	for _, s := range p.engines {
		if s.services[0] == c.service {
			perSecond += 1 / engineTime(s, c.medianPrompt, int(float64(c.medianOutput)*meanOverMedian)).Seconds()
		}
	}
	return share * perSecond
}

// Lengths have a log-normal distribution around the median of the class. The mean of the
// distribution is meanOverMedian times its median. Outputs are at most maxLengthFactor
// times the median.
const (
	lengthSigma     = 0.4
	meanOverMedian  = 1.083
	maxLengthFactor = 3
)

// The arrival rate is burstFactor times the mean for burstLength at the start of each
// burstInterval.
const (
	burstInterval = 20 * time.Second
	burstLength   = 3 * time.Second
	burstFactor   = 2.0
)

// rateFactor returns the ratio of the arrival rate at the given time to its mean.
func rateFactor(at time.Duration) float64 {
	if at%burstInterval < burstLength {
		return burstFactor
	}
	fraction := float64(burstLength) / float64(burstInterval)
	return (1 - burstFactor*fraction) / (1 - fraction)
}

// scheduleArrivals schedules the requests of each class as a Poisson process whose rate
// varies with rateFactor.
func (s *sim) scheduleArrivals(load float64) {
	for i, c := range s.profile.classes {
		rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
		rate := s.profile.rate(c, c.loadShare*load)
		n := 0
		for at := time.Duration(0); ; n++ {
			at += time.Duration(rng.ExpFloat64() / (rate * rateFactor(at)) * float64(time.Second))
			if at >= s.length {
				break
			}
			j := newJob(s, rng, i, n, at)
			s.scheduleAt(at, func() { s.arrive(j) })
		}
	}
}

// newJob returns the n-th request of a class, with random lengths, gate, customer and
// topic. Requests of plain classes have no prompt and one output token.
func newJob(s *sim, rng *rand.Rand, classIndex, n int, at time.Duration) *job {
	c := s.profile.classes[classIndex]
	j := &job{class: c, tier: c.tier, arrivedAt: at, deadline: at + c.deadline, gate: rng.IntN(hosts), customer: pickCustomer(rng)}
	j.id = tables.RequestID(fmt.Sprintf("h%02d.%d-%06d", j.gate, classIndex, n))
	j.outputLength = 1
	if c.plain {
		return j
	}
	length := math.Exp(rng.NormFloat64() * lengthSigma)
	j.outputLength = max(1, min(int(float64(c.medianOutput)*length), c.medianOutput*maxLengthFactor))
	j.promptTokens = c.sharedPrompt + max(16, int(float64(c.medianPrompt-c.sharedPrompt)*math.Exp(rng.NormFloat64()*lengthSigma)))
	topic := fmt.Sprintf("%d/%d", classIndex, rng.IntN(s.profile.topics))
	j.prefixHashes = promptHashes(topic, string(j.id), c.sharedPrompt, j.promptTokens)
	return j
}

// pickCustomer returns a random customer, weighted by customerWeights.
func pickCustomer(rng *rand.Rand) int {
	draw := rng.Float64()
	for i, w := range customerWeights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return 0
}

// promptHashes returns the block hashes of a prompt of the given length in tokens. The
// first shared tokens depend on the topic, the others on id.
func promptHashes(topic, id string, shared, prompt int) []uint64 {
	out := make([]uint64, prompt/prefix.BlockTokens)
	for i := range out {
		name := topic
		if i >= shared/prefix.BlockTokens {
			name = id
		}
		out[i] = xxhash.Sum64String(name) + uint64(i)*0x9E3779B97F4A7C15
	}
	return out
}
