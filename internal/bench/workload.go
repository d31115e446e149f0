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

// class is one kind of request of a profile.
type class struct {
	service tables.ServiceID
	tier    int
	// work is the share of the engines' time that the class asks for.
	work float64
	// prompt and out are median lengths in tokens; shared is the prompt part
	// that all requests of one topic have in common.
	prompt, shared, out int
	first, due          time.Duration
	plain               bool
	nonIdempotent       bool
}

// profile is the shape of a deployment.
type profile struct {
	domains int
	engines []spec
	classes []class
	// topics is the number of different shared prompt parts per class.
	topics int
}

const (
	hosts = 13
	// customers have weights 4, 3, 1, 1 and 1 in the traffic.
	customers = 5
	// resender is the customer that sends again whatever was refused.
	resender = 1
)

var customerWeights = [customers]float64{0.4, 0.3, 0.1, 0.1, 0.1}

// generations are the unlike hardware of the model engines.
var generations = []spec{
	{generation: "a", speed: tables.Speed{PrefillTokensPerSecond: 12000, Step: 10 * time.Millisecond, StepPerSequence: 600 * time.Microsecond}, window: 16, cacheTokens: 60_000},
	{generation: "b", speed: tables.Speed{PrefillTokensPerSecond: 6000, Step: 16 * time.Millisecond, StepPerSequence: time.Millisecond}, window: 12, cacheTokens: 60_000},
	{generation: "c", speed: tables.Speed{PrefillTokensPerSecond: 3000, Step: 25 * time.Millisecond, StepPerSequence: 1500 * time.Microsecond}, window: 8, cacheTokens: 40_000},
}

var plainSpec = spec{plain: true, speed: tables.Speed{PrefillTokensPerSecond: 1e9, Step: 50 * time.Millisecond, StepPerSequence: time.Millisecond}, window: 8}

// profiles are the two deployments.
var profiles = map[string]profile{
	"workshop": {
		domains: 4, topics: 40,
		engines: fleet(18, 4, 4, "model", "desk"),
		classes: []class{
			{service: "model", tier: 0, work: 0.10, prompt: 600, shared: 256, out: 80, first: 2 * time.Second, due: 10 * time.Second},
			{service: "model", tier: 0, work: 0.25, prompt: 1500, shared: 512, out: 400, first: 5 * time.Second, due: 40 * time.Second},
			{service: "model", tier: 1, work: 0.20, prompt: 1500, shared: 512, out: 600, first: 15 * time.Second, due: 60 * time.Second},
			{service: "model", tier: 1, work: 0.05, prompt: 300, shared: 128, out: 8, first: 5 * time.Second, due: 6 * time.Second},
			{service: "model", tier: 2, work: 0.40, prompt: 1200, shared: 512, out: 500, first: 30 * time.Second, due: 80 * time.Second},
			{service: "desk", tier: 0, work: 0.01, out: 1, due: 5 * time.Second, plain: true, nonIdempotent: true},
			{service: "desk", tier: 2, work: 0.02, out: 1, due: 5 * time.Second, plain: true},
		},
	},
	"grants": {
		domains: 3, topics: 12,
		engines: fleet(12, 3, 3, "model", "filing"),
		classes: []class{
			{service: "model", tier: 0, work: 0.25, prompt: 6000, shared: 4096, out: 700, first: 10 * time.Second, due: 60 * time.Second},
			{service: "model", tier: 0, work: 0.10, prompt: 2500, shared: 2048, out: 120, first: 4 * time.Second, due: 12 * time.Second},
			{service: "model", tier: 1, work: 0.25, prompt: 3000, shared: 2560, out: 60, first: 10 * time.Second, due: 20 * time.Second},
			{service: "model", tier: 2, work: 0.40, prompt: 6000, shared: 4096, out: 800, first: 40 * time.Second, due: 100 * time.Second},
			{service: "filing", tier: 0, work: 0.01, out: 1, due: 5 * time.Second, plain: true, nonIdempotent: true},
			{service: "filing", tier: 2, work: 0.02, out: 1, due: 5 * time.Second, plain: true},
		},
	},
}

// fleet returns model engines of all generations and plain ones, dealt out
// over the failure domains.
func fleet(models, plains, domains int, model, plain tables.ServiceID) []spec {
	var out []spec
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

// engineTime is the time of a full batch that a request takes of an engine.
func engineTime(s spec, prompt, out int) time.Duration {
	return s.speed.Prefill(prompt) + time.Duration(out)*s.speed.TokenGap(s.window)/time.Duration(s.window)
}

// rate returns the arrivals per second that ask for a share of the time of
// all engines that fit c.
func (p profile) rate(c class, share float64) float64 {
	perSecond := 0.0
	for _, s := range p.engines {
		if s.services[0] == c.service {
			perSecond += 1 / engineTime(s, c.prompt, int(float64(c.out)*meanOverMedian)).Seconds()
		}
	}
	return share * perSecond
}

// Lengths are log-normal around the class median.
const (
	lengthSigma    = 0.4
	meanOverMedian = 1.083
	longest        = 3
)

// Every burstEvery the rate is burstFactor times the mean for burstLength.
const (
	burstEvery  = 20 * time.Second
	burstLength = 3 * time.Second
	burstFactor = 2.0
)

// burst scales the rate at a time so that the mean stays one.
func burst(at time.Duration) float64 {
	if at%burstEvery < burstLength {
		return burstFactor
	}
	part := float64(burstLength) / float64(burstEvery)
	return (1 - burstFactor*part) / (1 - part)
}

// arrivals schedules the requests of every class as a Poisson process.
func (s *sim) arrivals(load float64) {
	for i, c := range s.profile.classes {
		rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
		rate := s.profile.rate(c, c.work*load)
		n := 0
		for at := time.Duration(0); ; n++ {
			at += time.Duration(rng.ExpFloat64() / (rate * burst(at)) * float64(time.Second))
			if at >= s.length {
				break
			}
			j := newJob(s, rng, i, n, at)
			s.at(at, func() { s.arrive(j) })
		}
	}
}

func newJob(s *sim, rng *rand.Rand, classIndex, n int, at time.Duration) *job {
	c := s.profile.classes[classIndex]
	j := &job{class: c, tier: c.tier, arrived: at, due: at + c.due, gate: rng.IntN(hosts), customer: pickCustomer(rng)}
	j.id = tables.RequestID(fmt.Sprintf("h%02d.%d-%06d", j.gate, classIndex, n))
	j.out = 1
	if c.plain {
		return j
	}
	length := math.Exp(rng.NormFloat64() * lengthSigma)
	j.out = max(1, min(int(float64(c.out)*length), c.out*longest))
	j.prompt = c.shared + max(16, int(float64(c.prompt-c.shared)*math.Exp(rng.NormFloat64()*lengthSigma)))
	topic := fmt.Sprintf("%d/%d", classIndex, rng.IntN(s.profile.topics))
	j.chain = chain(topic, string(j.id), c.shared, j.prompt)
	return j
}

func pickCustomer(rng *rand.Rand) int {
	x := rng.Float64()
	for i, w := range customerWeights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// chain returns the block hashes of a prompt with a shared head.
func chain(topic, own string, shared, prompt int) []uint64 {
	out := make([]uint64, prompt/prefix.BlockTokens)
	for i := range out {
		name := topic
		if i >= shared/prefix.BlockTokens {
			name = own
		}
		out[i] = xxhash.Sum64String(name) + uint64(i)*0x9E3779B97F4A7C15
	}
	return out
}
