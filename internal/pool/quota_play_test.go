package pool

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	playStep     = 10 * time.Millisecond
	playWindow   = 8 * time.Second
	playRate     = 445_830.0
	playBurst    = 891_660.0
	playBound    = (playRate*8+playBurst)*1.1 + 140_000
	playLiveness = 400 * time.Millisecond
)

// playLight is the number of customers that use a tenth of their quotas.
const playLight = 10

func lightCustomer(i int) tables.CustomerID { return tables.CustomerID(fmt.Sprint("tenth", i)) }

// playedHost is a host of a quotaPlay.
type playedHost struct {
	id       tables.HostID
	dead     bool
	fallback *Coordinator
	use      *hostUse
	// uses is the coordinator that the host uses at present.
	uses        *Coordinator
	reconcileAt time.Time
	// switchAt are the times at which it changes between two coordinators.
	switchAt []time.Time
	// returnsAfter is how long after the gap the host reaches the next coordinator.
	returnsAfter time.Duration
	split        bool
}

// playedRequest is a request whose admission is attempted again until its wait ends.
type playedRequest struct {
	message slotRequestMessage
	host    *playedHost
	until   time.Time
	retryAt time.Time
}

// playedCustomer is the load and the service of one customer.
type playedCustomer struct {
	tokensPerSecond float64
	pauses          bool
	asked, refused  [60]float64
	arrivals        []playedArrival
	worst           float64
	worstAt         time.Duration
	windowSum       float64
	windowOldest    int
}

type playedArrival struct {
	at     time.Time
	tokens float64
}

// quotaPlay plays the admission of requests by quota in virtual time: real coordinators
// and local fallbacks, with messages delivered by the play.
type quotaPlay struct {
	hosts     int
	deadShare float64
	gap       time.Duration
	// lostReports is the fraction of the reports that are lost; others are late by up to lateReports.
	lostReports float64
	lateReports time.Duration
	// toggles is the number of changes between two coordinators in togglePeriod.
	toggles int
	// split is the fraction of the hosts that reach only the second coordinator for
	// togglePeriod, while the others use the first one.
	split float64
	seed  uint64

	clock     *clockwork.FakeClock
	random    *rand.Rand
	began     time.Time
	lostAt    time.Duration
	all       []*playedHost
	first     *Coordinator
	second    *Coordinator
	waiting   []*playedRequest
	later     []playedMessage
	customers map[tables.CustomerID]*playedCustomer
	nextID    allocation.ID
	// silences are the times at which the first coordinator falls silent for playLiveness.
	silences []time.Duration
}

type playedMessage struct {
	at   time.Time
	send func()
}

const (
	togglePeriod = 5 * time.Second
	playEnd      = 30 * time.Second
)

func (p *quotaPlay) coordinator(view View, share float64) *Coordinator {
	policy := Policy{Quota: quota.Bounds{Window: playWindow, Overshoot: 0.1, Slack: 140_000}, Retry: retry.Budget{Ratio: 0.1, Slack: 100, Window: 10 * time.Second}}
	c := NewCoordinator(view, policy, func() float64 { return 0 }, func() float64 { return share }, func() int { return 1 }, p.clock, zap.NewNop())
	c.HostCount = func() fleet.HostCount { return fleet.KnownHostCount(p.hosts) }
	c.ReloadTargets(allocation.Estimates{})
	return c
}

func (p *quotaPlay) run() {
	p.random = rand.New(rand.NewPCG(p.seed, 11))
	p.clock = clockwork.NewFakeClock()
	p.began = p.clock.Now()
	p.customers = map[tables.CustomerID]*playedCustomer{
		"over":   {tokensPerSecond: 1.6 * playBound / 8},
		"bursts": {tokensPerSecond: 2.5 * playBound / 8, pauses: true},
		"at":     {tokensPerSecond: playRate},
	}
	for i := range playLight {
		p.customers[lightCustomer(i)] = &playedCustomer{tokensPerSecond: playRate / 10}
	}
	config := fleet.NewConfig(1)
	for id := range p.customers {
		config.AddCustomer(&fleet.Customer{Name: id, Quota: fleet.Quota{TokensPerSecond: playRate, Burst: playBurst}}, []string{string(id)})
	}
	deployment := &view{config: config}
	for i := range 2 {
		deployment.targets = append(deployment.targets, fleet.Target{ID: tables.TargetID(fmt.Sprint("t", i)), Service: "s", Address: "a", Slots: 100_000})
	}
	p.first = p.coordinator(deployment, 1)
	p.second = p.coordinator(deployment, 1-p.deadShare)
	for i := range p.hosts {
		h := &playedHost{id: tables.HostID(fmt.Sprint("h", i)), uses: p.first}
		h.fallback = p.coordinator(deployment, 1/float64(p.hosts))
		h.reconcileAt = p.began.Add(p.upTo(time.Second))
		h.returnsAfter = p.upTo(300 * time.Millisecond)
		h.use = newHostUse(time.UnixMilli(1), playWindow)
		h.split = float64(i) < p.split*float64(p.hosts)
		p.all = append(p.all, h)
	}
	p.lostAt = 5*time.Second + p.upTo(8*time.Second)
	p.planToggles()
	for p.now() < playEnd {
		p.clock.Advance(playStep)
		p.step()
	}
}

func (p *quotaPlay) now() time.Duration { return p.clock.Now().Sub(p.began) }

func (p *quotaPlay) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(d))
}

func (p *quotaPlay) planToggles() {
	if p.toggles == 0 {
		return
	}
	for range p.toggles {
		h := p.all[p.random.IntN(len(p.all))]
		h.switchAt = append(h.switchAt, p.began.Add(p.lostAt+p.upTo(togglePeriod)))
	}
	for _, h := range p.all {
		slices.SortFunc(h.switchAt, time.Time.Compare)
	}
	for at := p.lostAt; at < p.lostAt+togglePeriod; at += time.Second + p.upTo(time.Second) {
		p.silences = append(p.silences, at)
	}
}

func (p *quotaPlay) step() {
	now := p.clock.Now()
	var later []playedMessage
	for _, m := range p.later {
		if m.at.After(now) {
			later = append(later, m)
			continue
		}
		m.send()
	}
	p.later = later
	if p.now() >= p.lostAt && p.now()-playStep < p.lostAt {
		for i := range int(p.deadShare * float64(p.hosts)) {
			p.all[i].dead = true
		}
	}
	for _, h := range p.all {
		if !h.dead {
			p.stepHost(now, h)
		}
	}
	p.arrivals(now)
	p.retry(now)
}

func (p *quotaPlay) stepHost(now time.Time, h *playedHost) {
	p.choose(h, now)
	if now.Before(h.reconcileAt) {
		return
	}
	h.reconcileAt = h.reconcileAt.Add(time.Second)
	if h.uses == h.fallback || h.uses == p.first && p.lost(h) {
		return
	}
	p.reconcile(now, h, h.uses)
}

// choose sets the coordinator that a host uses.
func (p *quotaPlay) choose(h *playedHost, now time.Time) {
	former, since := h.uses, p.now()-p.lostAt
	switch {
	case since < 0:
	case p.split > 0:
		if since >= playLiveness && h.split || since >= togglePeriod {
			h.uses = p.second
		}
	case p.toggles > 0:
		p.toggle(h, now, since)
	case since < p.gap+h.returnsAfter && p.gap > 0:
		h.uses = h.fallback
	case since >= h.returnsAfter:
		h.uses = p.second
	}
	if h.uses != former {
		p.changed(now, h, former)
	}
}

// toggle changes the coordinator of a host when it is to. While the first one is silent, all
// use the second one.
func (p *quotaPlay) toggle(h *playedHost, now time.Time, since time.Duration) {
	for len(h.switchAt) > 0 && !h.switchAt[0].After(now) {
		h.switchAt = h.switchAt[1:]
		h.uses = p.other(h.uses)
	}
	if p.silentUntil() > 0 || since > togglePeriod {
		h.uses = p.second
	}
}

func (p *quotaPlay) other(c *Coordinator) *Coordinator {
	if c == p.first {
		return p.second
	}
	return p.first
}

// silentUntil returns when the silence of the first coordinator ends; zero if it is not
// silent.
func (p *quotaPlay) silentUntil() time.Duration {
	for _, at := range p.silences {
		if p.now() >= at && p.now() < at+playLiveness {
			return at + playLiveness
		}
	}
	return 0
}

// lost reports whether the first coordinator no longer serves a host.
func (p *quotaPlay) lost(h *playedHost) bool {
	return p.toggles == 0 && p.now() >= p.lostAt && (p.split == 0 || h.split)
}

func (p *quotaPlay) arrivals(now time.Time) {
	const mean, sigma, largest = 7000.0, 1.0, 54_600.0
	for _, id := range slices.Sorted(maps.Keys(p.customers)) {
		c := p.customers[id]
		if c.pauses && int(p.now().Seconds()/3+float64(p.seed))%3 == 0 {
			continue
		}
		rate := c.tokensPerSecond / mean * playStep.Seconds()
		for range p.poisson(rate) {
			tokens := int(min(mean*math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2), largest))
			h := p.all[p.random.IntN(len(p.all))]
			if h.dead {
				continue
			}
			p.nextID++
			m := slotRequestMessage{ID: p.nextID, Host: h.id, Service: "s", Customer: id, QuotaTokens: tokens, FirstByteBudgetMS: 1000, MaxWaitMS: 1000}
			c.asked[int(p.now().Seconds())]++
			p.waiting = append(p.waiting, &playedRequest{message: m, host: h, until: now.Add(time.Second), retryAt: now})
		}
	}
}

func (p *quotaPlay) poisson(mean float64) int {
	n, product, limit := 0, p.random.Float64(), math.Exp(-mean)
	for product > limit {
		n++
		product *= p.random.Float64()
	}
	return n
}

func (p *quotaPlay) retry(now time.Time) {
	kept := p.waiting[:0]
	for _, r := range p.waiting {
		switch {
		case now.Before(r.retryAt):
			kept = append(kept, r)
		case !p.tryOnce(now, r):
			r.retryAt = now.Add(reportRetryInterval)
			kept = append(kept, r)
		}
	}
	p.waiting = kept
}

// tryOnce attempts to admit a request. It returns false if it is to be tried again.
func (p *quotaPlay) tryOnce(now time.Time, r *playedRequest) bool {
	c := p.customers[r.message.Customer]
	h := r.host
	if h.dead || h.uses == p.first && (p.lost(h) || p.silentUntil() > 0) {
		return !now.Before(r.until)
	}
	if h.uses == h.fallback && now.Sub(h.use.localAt) >= reconcileInterval {
		h.uses.UpdateLocal(p.report(now, h))
	}
	m := r.message
	m.coordinatorUse = h.use.address(now)
	w, err := h.uses.enqueue(m, now)
	if err != nil {
		if h.uses.mayRecover(err, r.until.Add(-takeoverGrace)) && now.Before(r.until) {
			return false
		}
		c.refused[int(p.now().Seconds())]++
		return true
	}
	h.uses.schedule()
	d := <-w.done
	grant, err := h.uses.respond(m, d)
	Expect(err).NotTo(HaveOccurred())
	h.use.granted(now, p.idOf(h.uses), grant)
	h.use.usage.add(m.Customer, tokenUse{now, m.QuotaTokens, grant.Grantor})
	c.record(now, p.now(), float64(m.QuotaTokens))
	h.uses.Report(reportMessage{FirstBytes: []firstByteReport{{ID: m.ID, TookMS: 10}}, Releases: []releaseReport{{ID: m.ID, Service: "s", Outcome: allocation.Succeeded}}})
	return true
}

func (c *playedCustomer) record(now time.Time, at time.Duration, tokens float64) {
	c.arrivals = append(c.arrivals, playedArrival{now, tokens})
	c.windowSum += tokens
	for now.Sub(c.arrivals[c.windowOldest].at) >= playWindow {
		c.windowSum -= c.arrivals[c.windowOldest].tokens
		c.windowOldest++
	}
	if c.windowSum > c.worst {
		c.worst, c.worstAt = c.windowSum, at
	}
}

// changed plays the messages that a host sends when it has changed to another coordinator.
func (p *quotaPlay) changed(now time.Time, h *playedHost, former *Coordinator) {
	h.use.change(p.idOf(h.uses))
	if h.uses == h.fallback {
		h.uses.StartLocal(p.report(now, h), func(id tables.CustomerID) quota.Load { return h.use.load(now, id) })
	} else {
		p.reconcile(now, h, h.uses)
	}
	if former == h.fallback || former == p.first && p.lost(h) {
		return
	}
	m := leaveMessage{Host: h.id, Epoch: h.use.epoch}
	at := now.Add(p.upTo(20 * time.Millisecond))
	if silentUntil := p.silentUntil(); former == p.first && silentUntil > 0 {
		at = p.began.Add(silentUntil)
	}
	p.later = append(p.later, playedMessage{at, func() {
		former.Leave(m)
		h.use.left(p.idOf(former), m.Epoch)
	}})
}

func (p *quotaPlay) idOf(c *Coordinator) tables.HostID {
	switch c {
	case p.first:
		return "first"
	case p.second:
		return "second"
	default:
		return localGrants
	}
}

func (p *quotaPlay) report(now time.Time, h *playedHost) reconcileMessage {
	return reconcileMessage{
		Host: h.id, HostCount: p.hosts, UsedTokens: h.use.usage.recent(now), UsageWindowMS: min(playWindow, p.now()).Milliseconds(),
		Use: h.use.report(now), coordinatorUse: h.use.address(now),
	}
}

// reconcile plays a reconcile message, which may be lost or late. It is encoded, as between
// hosts.
func (p *quotaPlay) reconcile(now time.Time, h *playedHost, to *Coordinator) {
	encoded, err := json.Marshal(p.report(now, h))
	Expect(err).NotTo(HaveOccurred())
	if now.After(p.began.Add(p.lostAt)) && p.random.Float64() < p.lostReports {
		return
	}
	p.later = append(p.later, playedMessage{now.Add(p.upTo(p.lateReports)), func() {
		var m reconcileMessage
		Expect(json.Unmarshal(encoded, &m)).To(Succeed())
		to.Reconcile(m)
	}})
}

// refusedShare returns the share of the requests of a period that was refused. The period is
// in whole seconds.
func (c *playedCustomer) refusedShare(from, to time.Duration) float64 {
	var asked, refused float64
	for second := int(math.Ceil(from.Seconds())); second < int(to.Seconds()); second++ {
		asked += c.asked[second]
		refused += c.refused[second]
	}
	return refused / max(asked, 1)
}

func (c *playedCustomer) granted(p *quotaPlay, from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range c.arrivals {
		if at := a.at.Sub(p.began); at >= from && at < to {
			sum += a.tokens
		}
	}
	return sum
}
