package pool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/repeat"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// stepEvery is how often queued asks are looked at when nothing else
	// happens.
	stepEvery = 10 * time.Millisecond
	// stepGap is the least time between two looks at a queue, which bounds the
	// processor time under overload.
	stepGap = 4 * time.Millisecond
)

// View is what a home needs to know of the deployment.
type View interface {
	Config() *fleet.Config
	Targets() []fleet.Target
}

// Policy holds the bounds that a home keeps for all hosts.
type Policy struct {
	Quota  quota.Bounds
	Repeat repeat.Budget
}

// Home decides over the places of all targets.
type Home struct {
	view   View
	clock  clockwork.Clock
	logger *zap.Logger
	// share is the part of quotas and budgets that this home may give.
	share func() float64
	// spread divides the slots of targets among hosts that decide alone.
	spread func() int

	mu      sync.Mutex
	table   *place.Table
	buckets *quota.Buckets
	repeats *repeat.Counter
	refused *repeat.Refusals
	crashes *repeat.Crashes
	waiting map[place.ID]*waiter
	charged map[place.ID]charge
	// heard is when any host last took this one for the home, and tookOver when
	// the first did so. told holds the hosts that have told their use of tokens
	// since then.
	heard, tookOver time.Time
	told            map[tables.HostID]bool
	// dropped is the last look for charges whose end was not heard.
	dropped time.Time
	// stepped is the last look at the queues, nextStep the next one if armed.
	stepped, nextStep time.Time
	armed             bool
}

// waiter is an ask whose answer is awaited.
type waiter struct {
	ask  askMessage
	done chan place.Decision
}

// charge is what an ask took from the quota of a customer.
type charge struct {
	quota.Charge
	content tables.Fingerprint
}

// NewHome returns a home. share is the part of quotas and budgets that it may
// give, from 0 to 1; spread is the number of hosts among which it divides the
// slots of targets.
func NewHome(view View, policy Policy, random func() float64, share func() float64, spread func() int, clock clockwork.Clock, logger *zap.Logger) *Home {
	return &Home{
		view: view, clock: clock, logger: logger, share: share, spread: spread,
		table:   place.NewTable(random),
		buckets: quota.NewBuckets(policy.Quota),
		repeats: repeat.NewCounter(policy.Repeat),
		refused: repeat.NewRefusals(),
		crashes: repeat.NewCrashes(),
		waiting: make(map[place.ID]*waiter),
		charged: make(map[place.ID]charge),
		told:    make(map[tables.HostID]bool),
	}
}

// SetPolicy replaces the bounds that the home keeps.
func (h *Home) SetPolicy(p Policy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets.SetBounds(p.Quota)
	h.repeats.SetBudget(p.Repeat)
}

// Refresh takes over the list of targets. learned is what another home knows of
// them.
func (h *Home) Refresh(learned place.Learned) {
	targets := h.view.Targets()
	config := h.view.Config()
	spread := max(h.spread(), 1)
	for i := range targets {
		if config != nil {
			if slots := config.Services[targets[i].Service].Slots; slots > 0 {
				targets[i].Slots = min(targets[i].Slots, slots)
			}
		}
		targets[i].Slots = (targets[i].Slots + spread - 1) / spread
	}
	h.mu.Lock()
	h.table.SetTargets(targets)
	h.table.Adopt(learned)
	h.mu.Unlock()
	h.step()
}

// Ask waits for a place. Errors have the kind CustomerLimit, Overloaded,
// NoTarget, RepeatBudget, Quarantined or CancelledBeforeRun.
func (h *Home) Ask(ctx context.Context, m askMessage) (grantMessage, error) {
	w, err := h.enqueue(m)
	for err != nil && h.settling(err) && m.HoldMS > 0 {
		if !h.pause(ctx, &m) {
			return grantMessage{}, h.cancel(m)
		}
		w, err = h.enqueue(m)
	}
	if err != nil {
		return grantMessage{}, err
	}
	h.step()
	select {
	case d := <-w.done:
		return h.answer(m, d)
	case <-ctx.Done():
		return grantMessage{}, h.cancel(m)
	}
}

func (h *Home) enqueue(m askMessage) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.hear(now)
	share := h.share()
	if h.crashes.Refuses(now, m.Content) {
		return nil, errkind.New(errkind.Quarantined, fmt.Sprintf("request %q has the content of requests under which several targets broke off", m.Request))
	}
	limit := h.quotaOf(m.Customer)
	taken, wait := h.buckets.Take(now, m.Customer, limit, share, m.Tokens)
	if wait > 0 {
		detail := fmt.Sprintf("customer %q: %d tokens are above its quota of %.0f a second and a burst of %.0f, of which this home gives %.2f",
			m.Customer, m.Tokens, limit.TokensPerSecond, limit.Burst, share)
		return nil, errkind.NewRetry(errkind.CustomerLimit, detail, wait)
	}
	if m.Repeat && !h.repeats.Allow(now, m.Service, share) {
		h.buckets.Return(taken)
		return nil, errkind.New(errkind.RepeatBudget, fmt.Sprintf("the budget of repeats of service %q is used up", m.Service))
	}
	if !m.Repeat {
		h.repeats.Request(now, m.Service)
	}
	h.charged[m.ID] = charge{taken, m.Content}
	w := &waiter{ask: m, done: make(chan place.Decision, 1)}
	h.waiting[m.ID] = w
	ask := m.toAsk(now)
	ask.Late, ask.Returned = h.refused.Returns(now, m.Content)
	ask.Above = h.buckets.Above(m.Customer)
	h.table.Add(ask)
	return w, nil
}

func (h *Home) quotaOf(id tables.CustomerID) fleet.Quota {
	config := h.view.Config()
	if config == nil {
		return fleet.Quota{}
	}
	return config.QuotaOf(id)
}

func (m askMessage) toAsk(now time.Time) *place.Ask {
	return &place.Ask{
		ID: m.ID, Host: m.Host, Service: m.Service, Customer: m.Customer, Domain: m.Domain,
		Tier: m.Tier, Urgency: m.Urgency, Prompt: m.Prompt,
		Came: now, AimAt: now.Add(fromMS(float64(m.AimMS))),
		GapAim: fromMS(float64(m.GapMS)), HoldUntil: now.Add(fromMS(float64(m.HoldMS))), Avoid: m.Avoid,
	}
}

// step gives out places, at once or after stepGap, and arms the next look
// while asks wait.
func (h *Home) step() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.armed && h.clock.Now().Sub(h.stepped) < stepGap {
		h.arm(stepGap)
		return
	}
	h.stepNow()
}

// stepNow gives out places. The lock is held.
func (h *Home) stepNow() {
	h.stepped = h.clock.Now()
	for _, d := range h.table.Step(h.stepped) {
		if w := h.waiting[d.Ask.ID]; w != nil {
			delete(h.waiting, d.Ask.ID)
			h.started(d)
			w.done <- d
		}
	}
	if h.table.Waiting() > 0 {
		h.arm(stepEvery)
	}
}

// started counts the tokens of a request from its grant on. The lock is held.
func (h *Home) started(d place.Decision) {
	c, ok := h.charged[d.Ask.ID]
	if !ok || d.Target == "" {
		return
	}
	c.Charge = h.buckets.Started(h.stepped, c.Charge)
	h.charged[d.Ask.ID] = c
}

// arm makes the next look happen within d. The lock is held.
func (h *Home) arm(d time.Duration) {
	at := h.clock.Now().Add(d)
	if h.armed && !at.Before(h.nextStep) {
		return
	}
	h.armed = true
	h.nextStep = at
	h.clock.AfterFunc(d, h.stepArmed)
}

func (h *Home) stepArmed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.armed || h.clock.Now().Before(h.nextStep) {
		return
	}
	h.armed = false
	h.stepNow()
}

func (h *Home) answer(m askMessage, d place.Decision) (grantMessage, error) {
	if d.Target != "" {
		return grantMessage{Target: d.Target, ExpectedMS: d.Expected.Sub(h.clock.Now()).Milliseconds()}, nil
	}
	h.mu.Lock()
	h.refund(m.ID)
	h.refused.Add(h.clock.Now(), m.Content, d.RetryAfter)
	waiting, inUse := h.table.Waiting(), h.table.InUse()
	h.mu.Unlock()
	event.PlaceRefused.Log(h.logger, zap.String("request", m.Request), zap.String("reason", string(d.Reason)),
		zap.String("service", string(m.Service)), zap.Int("tier", m.Tier), zap.Int("urgency", m.Urgency),
		zap.Int("waiting", waiting), zap.Int("in_use", inUse), zap.Bool("late", d.Ask.Late), zap.Bool("returned", d.Ask.Returned),
		zap.Int64("aim_ms", m.AimMS), zap.Duration("waited", h.clock.Now().Sub(d.Ask.Came)), zap.Duration("retry_after", d.RetryAfter))
	detail := fmt.Sprintf("service %q, tier %d: %d requests wait, %d places are in use", m.Service, m.Tier, waiting, inUse)
	if d.Reason == place.NoTargets {
		return grantMessage{}, errkind.NewRetry(errkind.NoTarget, detail, d.RetryAfter)
	}
	return grantMessage{}, errkind.NewRetry(errkind.Overloaded, detail, d.RetryAfter)
}

// cancel withdraws an ask whose caller has left. A place that was granted at
// the same moment is freed.
func (h *Home) cancel(m askMessage) error {
	h.mu.Lock()
	delete(h.waiting, m.ID)
	h.table.Cancel(m.Service, m.ID)
	h.table.End(h.clock.Now(), m.ID, place.Left)
	h.refund(m.ID)
	h.mu.Unlock()
	return errkind.New(errkind.CancelledBeforeRun, fmt.Sprintf("ask of request %q was withdrawn", m.Request))
}

// refund gives back what a request that did not run took. The lock is held.
func (h *Home) refund(id place.ID) {
	c, ok := h.charged[id]
	if !ok {
		return
	}
	delete(h.charged, id)
	h.buckets.Return(c.Charge)
}

// Report takes in what became of grants.
func (h *Home) Report(r reportMessage) {
	h.mu.Lock()
	now := h.clock.Now()
	for _, f := range r.Firsts {
		h.table.First(now, f.ID, fromMS(f.TookMS))
	}
	for _, e := range r.Ends {
		h.end(now, e)
	}
	h.mu.Unlock()
	h.step()
}

// end frees the place of one grant, or withdraws an ask that was not granted
// yet. The lock is held.
func (h *Home) end(now time.Time, e endReport) {
	if w := h.waiting[e.ID]; w != nil {
		delete(h.waiting, e.ID)
		h.table.Cancel(e.Service, e.ID)
		w.done <- place.Decision{Ask: w.ask.toAsk(now), Reason: place.TooLate}
		return
	}
	h.noteRun(now, e)
	h.table.Paused(e.ID, fromMS(e.PauseMS))
	h.table.End(now, e.ID, e.Outcome)
	if e.Outcome == place.NotRun || e.Outcome == place.Replaced || e.Outcome == place.Unused {
		h.refund(e.ID)
		return
	}
	delete(h.charged, e.ID)
}

// noteRun remembers whether a content broke the connection to its target. The
// lock is held.
func (h *Home) noteRun(now time.Time, e endReport) {
	content := h.charged[e.ID].content
	switch e.Outcome {
	case place.Broken:
		h.crashes.Broke(now, content, h.table.TargetOf(e.ID))
	case place.Good:
		h.crashes.Ran(content)
	}
}

// Forget frees the places of a host that is gone.
func (h *Home) Forget(host tables.HostID) {
	h.mu.Lock()
	h.table.Forget(h.clock.Now(), host)
	h.mu.Unlock()
	event.PeerState.Log(h.logger, zap.String("host", string(host)), zap.String("state", "detached"))
	h.step()
}

// Learned returns what the home has learned of targets.
func (h *Home) Learned() place.Learned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Learned()
}

// Learn takes over what another home has learned.
func (h *Home) Learn(l place.Learned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Adopt(l)
}
