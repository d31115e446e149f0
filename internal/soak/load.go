package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Shares of the load in percent.
const (
	plainShare     = 30
	confirmShare   = 60
	keyedShare     = 20
	repeatShare    = 30
	leaveShare     = 3
	burstFactor    = 4
	burstEvery     = 10
	longAnswer     = 150
	shortAnswer    = 10
	longShare      = 15
	promptPatterns = 20
	promptPadding  = 400
)

// tiers are the tiers of the load with their shares in percent.
var tiers = []struct {
	name  string
	share int
}{{harness.TierUrgent, 25}, {harness.TierNormal, 45}, {harness.TierBulk, 30}}

// offerLoad sends requests until ctx ends. Each tenth second is a burst.
func (r *run) offerLoad(ctx context.Context) {
	for i := 0; ; i++ {
		rate := r.opts.RequestsPerSecond
		if int(time.Since(r.start)/time.Second)%burstEvery == burstEvery-1 {
			rate *= burstFactor
		}
		r.mu.Lock()
		gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		r.mu.Unlock()
		if !wait(ctx, gap) {
			return
		}
		r.sendOne(ctx, r.request(i))
	}
}

func (r *run) request(i int) harness.Request {
	q := harness.Request{
		Name:        fmt.Sprintf("r%d", i),
		CustomerKey: harness.MuseumKey,
		Service:     harness.ModelService,
		Tier:        r.tier(),
	}
	if r.draw(2) == 0 {
		q.CustomerKey = harness.WorkshopKey
	}
	if r.draw(100) < plainShare {
		return r.plainRequest(q)
	}
	q.MaxTokens = shortAnswer + r.draw(shortAnswer)
	if r.draw(100) < longShare {
		q.MaxTokens = longAnswer
	}
	pattern := fmt.Sprintf("pattern %02d ", r.draw(promptPatterns))
	q.Body = strings.Repeat(pattern, promptPadding/len(pattern)) + q.Name
	if r.draw(100) < keyedShare {
		q.Key = newKey()
	}
	return q
}

func (r *run) plainRequest(q harness.Request) harness.Request {
	q.Service = harness.PlainService
	q.Operation = harness.OperationStatus
	q.Body = fmt.Sprintf(`{"request":%q}`, q.Name)
	if r.draw(100) < confirmShare {
		q.Operation = harness.OperationConfirm
		q.Key = newKey()
	}
	return q
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (r *run) tier() string {
	n := r.draw(100)
	for _, t := range tiers {
		if n < t.share {
			return t.name
		}
		n -= t.share
	}
	return tiers[len(tiers)-1].name
}

// sendOne sends q through the balancer; some keyed ones a second time, and of
// some the caller leaves.
func (r *run) sendOne(ctx context.Context, q harness.Request) {
	c := r.send(q)
	if c == nil {
		return
	}
	if q.Key != "" && r.draw(100) < repeatShare {
		go r.repeat(ctx, q)
	}
	if q.Operation == "" && r.draw(100) < leaveShare {
		go r.leaveSoon(c)
	}
}

const (
	longestRepeatPause = 2000
	leaveAfter         = 200 * time.Millisecond
)

func (r *run) repeat(ctx context.Context, q harness.Request) {
	if !wait(ctx, time.Duration(r.draw(longestRepeatPause))*time.Millisecond) {
		return
	}
	q.Name += "-again"
	r.send(q)
}

func (r *run) leaveSoon(c *harness.Call) {
	select {
	case <-time.After(leaveAfter):
		c.Leave()
	case <-c.Done():
	}
}

// send sends q to a host in service; nil means that there is none.
func (r *run) send(q harness.Request) *harness.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inService) == 0 {
		return nil
	}
	host := r.inService[r.random.IntN(len(r.inService))]
	c, err := r.h.Send(host, q)
	if err != nil {
		return nil
	}
	return c
}

// takeOut removes a host from the balancer.
func (r *run) takeOut(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inService = slices.DeleteFunc(r.inService, func(h string) bool { return h == host })
}

func (r *run) putIn(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inService = append(r.inService, host)
}
