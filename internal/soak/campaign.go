package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Times of a random plan as shares of the duration.
const (
	firstFaultAt = 0.05
	lastFaultAt  = 0.75
	// meanFaultGap lies between two moments at which faults begin.
	meanFaultGap = 1500 * time.Millisecond
	// pairPercent of the moments begin two faults at once.
	pairPercent = 40
	// maxRetired targets leave in one run, so that some stay.
	maxRetired = 3
)

// campaign draws the plan of one run. All draws are made before the run, so
// that a seed fixes the plan.
type campaign struct {
	r       *run
	random  *rand.Rand
	retired int
	poison  bool
	// blind plans cut hosts off from the host list; the others have targets that
	// leave, which a host that cannot read the list cannot know.
	blind bool
}

// faultKind is one kind of fault with a victim to be drawn.
type faultKind struct {
	name string
	draw func(c *campaign) step
}

// randomPlan returns faults of all kinds, alone and in pairs, at random moments.
func (r *run) randomPlan() []step {
	c := &campaign{r: r, random: rand.New(rand.NewPCG(r.opts.Seed, 1))}
	c.blind = c.random.IntN(2) == 0
	var steps []step
	gap := float64(meanFaultGap) / float64(r.opts.Duration)
	for at := firstFaultAt; at < lastFaultAt; at += gap * c.random.ExpFloat64() {
		count := 1
		if c.random.IntN(100) < pairPercent {
			count = 2
		}
		for range count {
			s := c.next()
			s.at = at
			steps = append(steps, s)
		}
	}
	return steps
}

func (c *campaign) next() step {
	kind := faultKinds[c.random.IntN(len(faultKinds))]
	s := kind.draw(c)
	if s.do == nil {
		return c.next()
	}
	if s.name == "" {
		s.name = kind.name
	} else {
		s.name = kind.name + " " + s.name
	}
	return s
}

func (c *campaign) host() string   { return fmt.Sprintf("h%d", 1+c.random.IntN(c.r.opts.Hosts)) }
func (c *campaign) engine() string { return fmt.Sprintf("e%d", 1+c.random.IntN(c.r.opts.Engines)) }
func (c *campaign) plain() string  { return fmt.Sprintf("p%d", 1+c.random.IntN(c.r.opts.Plains)) }

// few returns a number of lost messages.
func (c *campaign) few() int { return 1 + c.random.IntN(lostAnswers) }

// share returns the length of a lasting fault.
func (c *campaign) share() float64 { return outageShare * (0.5 + c.random.Float64()) }

// faultKinds are drawn with equal probability; kinds that should come more
// often stand here more than once.
var faultKinds = []faultKind{
	{"kill gate", killPart(harness.PartGate)},
	{"kill dispatcher", killPart(harness.PartDispatcher)},
	{"kill dispatcher", killPart(harness.PartDispatcher)},
	{"kill controller", killPart(harness.PartController)},
	{"kill host", killPart(harness.PartGate, harness.PartDispatcher, harness.PartController)},
	{"kill failure domain", killDomain},
	{"restart", gracefulRestart},
	{"restart", gracefulRestart},
	{"silent peers of", silentPeers},
	{"log outage", logOutage},
	{"slow log", slowLog},
	{"log loses answers", logLosesAnswers},
	{"log loses requests", logLosesRequests},
	{"silent log", silentLog},
	{"host list down", listDown},
	{"cut off", cutOff},
	{"cut off failure domain", cutOffDomain},
	{"weight store down", weightsDown},
	{"racing operators", racingOperators},
	{"leaving", leaving},
	{"poison request", poisonRequest},
	{"straggler", straggler},
	{"crash", onEngine(func(t *harness.Target) { t.Engine.Crash() })},
	{"silent", onEngine(func(t *harness.Target) { t.Engine.GoSilent() })},
	{"lost sends to", onEngine(func(t *harness.Target) { t.Engine.LoseSends(lostAnswers) })},
	{"lost answers of", onEngine(func(t *harness.Target) { t.Engine.LoseAnswers(lostAnswers) })},
	{"crash", onPlain(func(t *harness.Target) { t.Plain.Crash() })},
	{"silent", onPlain(func(t *harness.Target) { t.Plain.GoSilent() })},
	{"lost sends to", onPlain(func(t *harness.Target) { t.Plain.LoseSends(lostAnswers) })},
	{"lost answers of", onPlain(func(t *harness.Target) { t.Plain.LoseAnswers(lostAnswers) })},
	{"failed runs at", onPlain(func(t *harness.Target) { t.Plain.FailRuns(lostAnswers) })},
}

func killPart(parts ...string) func(*campaign) step {
	return func(c *campaign) step {
		host := c.host()
		return step{name: host, do: c.r.crashAndRestart(host, parts...)}
	}
}

// hostsOf returns the hosts of a failure domain.
func (c *campaign) hostsOf(domain int) []string {
	var hosts []string
	for i := range c.r.opts.Hosts {
		if i%domains == domain {
			hosts = append(hosts, fmt.Sprintf("h%d", i+1))
		}
	}
	return hosts
}

// killDomain kills every host of a failure domain at once.
func killDomain(c *campaign) step {
	domain := c.random.IntN(domains)
	var kills []func(context.Context) error
	for _, host := range c.hostsOf(domain) {
		kills = append(kills, c.r.crashAndRestart(host))
	}
	return step{name: domainOf(domain), do: func(ctx context.Context) error { return together(ctx, kills) }}
}

func gracefulRestart(c *campaign) step {
	host := c.host()
	return step{name: host, do: func(ctx context.Context) error { return c.r.restartGracefully(ctx, host) }}
}

func silentPeers(c *campaign) step {
	host := c.host()
	return step{name: host, do: c.r.silencePeers(host)}
}

func logOutage(c *campaign) step {
	return step{do: c.r.lasting(switchLog, c.share(), c.r.h.Log.SetDown)}
}

func slowLog(c *campaign) step {
	return step{do: c.r.lasting(switchLog, c.share(), func(on bool) {
		if on {
			c.r.h.Log.SetDelay(slowAppend)
			return
		}
		c.r.h.Log.SetDelay(0)
	})}
}

func logLosesAnswers(c *campaign) step {
	n := c.few()
	return step{do: func(context.Context) error { c.r.h.Log.LoseAnswers(n); return nil }}
}

func logLosesRequests(c *campaign) step {
	n := c.few()
	return step{do: func(context.Context) error { c.r.h.Log.LoseRequests(n); return nil }}
}

func silentLog(c *campaign) step {
	return step{do: func(context.Context) error { c.r.h.SilenceLog(); return nil }}
}

func cutOff(c *campaign) step {
	if !c.blind {
		return step{}
	}
	host := c.host()
	return step{name: host, do: c.r.cut(c.share(), host)}
}

func cutOffDomain(c *campaign) step {
	if !c.blind {
		return step{}
	}
	domain := c.random.IntN(domains)
	return step{name: domainOf(domain), do: c.r.cut(c.share(), c.hostsOf(domain)...)}
}

func listDown(c *campaign) step {
	if !c.blind {
		return step{}
	}
	return step{do: c.r.lasting(switchList, c.share(), c.r.h.List.SetDown)}
}

func weightsDown(c *campaign) step {
	return step{do: c.r.lasting(switchWeights, c.share(), c.r.h.Weights.SetDown)}
}

func racingOperators(c *campaign) step {
	return step{do: c.r.raceOperators}
}

func leaving(c *campaign) step {
	if c.blind || c.retired == maxRetired {
		return step{}
	}
	c.retired++
	target := c.engine()
	return step{name: target, do: c.r.retire(target)}
}

// poisonRequest comes once: the check counts all its runs.
func poisonRequest(c *campaign) step {
	if c.poison {
		return step{}
	}
	c.poison = true
	return step{do: c.r.sendPoison}
}

func straggler(c *campaign) step {
	target := c.engine()
	return step{name: target, do: c.r.straggle(target)}
}

func onEngine(do func(*harness.Target)) func(*campaign) step {
	return func(c *campaign) step {
		name := c.engine()
		return step{name: name, do: c.r.onTarget(name, do)}
	}
}

func onPlain(do func(*harness.Target)) func(*campaign) step {
	return func(c *campaign) step {
		name := c.plain()
		return step{name: name, do: c.r.onTarget(name, do)}
	}
}
