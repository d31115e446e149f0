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

// Parameters of the load. Answer lengths are in tokens.
const (
	plainPercent       = 30
	confirmPercent     = 60
	keyedPercent       = 20
	retryPercent       = 30
	disconnectPercent  = 3
	burstFactor        = 4
	burstPeriodSeconds = 10
	longAnswerTokens   = 150
	shortAnswerTokens  = 10
	longAnswerPercent  = 15
	sharedPrefixCount  = 20
	sharedPrefixBytes  = 400
)

// tiers lists the tiers from the highest to the lowest, with their percentages of
// the requests. The index of a tier is its rank.
var tiers = []struct {
	name    string
	percent int
}{{harness.TierUrgent, 25}, {harness.TierNormal, 45}, {harness.TierBulk, 30}}

// generateLoad sends requests until ctx is done. In every tenth second it sends
// burstFactor times as many.
func (r *run) generateLoad(ctx context.Context) {
	for i := 0; ; i++ {
		rate := r.opts.RequestsPerSecond
		if int(time.Since(r.start)/time.Second)%burstPeriodSeconds == burstPeriodSeconds-1 {
			rate *= burstFactor
		}
		r.mu.Lock()
		interval := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		r.mu.Unlock()
		if !sleep(ctx, interval) {
			return
		}
		r.sendWithVariations(ctx, r.newRequest(i))
	}
}

func (r *run) newRequest(i int) harness.Request {
	q := harness.Request{
		Name:        fmt.Sprintf("r%d", i),
		CustomerKey: harness.MuseumKey,
		Service:     harness.ModelService,
		Tier:        r.randomTier(),
	}
	if r.randomInt(2) == 0 {
		q.CustomerKey = harness.WorkshopKey
	}
	if r.randomInt(100) < plainPercent {
		return r.newPlainRequest(q)
	}
	q.MaxTokens = shortAnswerTokens + r.randomInt(shortAnswerTokens)
	if r.randomInt(100) < longAnswerPercent {
		q.MaxTokens = longAnswerTokens
	}
	pattern := fmt.Sprintf("pattern %02d ", r.randomInt(sharedPrefixCount))
	q.Body = strings.Repeat(pattern, sharedPrefixBytes/len(pattern)) + q.Name
	if r.randomInt(100) < keyedPercent {
		q.Key = newKey()
	}
	return q
}

func (r *run) newPlainRequest(q harness.Request) harness.Request {
	q.Service = harness.PlainService
	q.Operation = harness.OperationStatus
	q.Body = fmt.Sprintf(`{"request":%q}`, q.Name)
	if r.randomInt(100) < confirmPercent {
		q.Operation = harness.OperationConfirm
		q.Key = newKey()
	}
	return q
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (r *run) randomTier() string {
	n := r.randomInt(100)
	for _, t := range tiers {
		if n < t.percent {
			return t.name
		}
		n -= t.percent
	}
	return tiers[len(tiers)-1].name
}

// sendWithVariations sends q to a host behind the balancer. Some requests with an
// idempotency key are sent a second time. Some callers of model requests close
// their connection early.
func (r *run) sendWithVariations(ctx context.Context, q harness.Request) {
	c := r.send(q)
	if c == nil {
		return
	}
	if q.Key != "" && r.randomInt(100) < retryPercent {
		go r.retry(ctx, q)
	}
	if q.Operation == "" && r.randomInt(100) < disconnectPercent {
		go r.disconnectAfterDelay(c)
	}
}

const (
	maxRetryDelayMillis = 2000
	disconnectDelay     = 200 * time.Millisecond
)

func (r *run) retry(ctx context.Context, q harness.Request) {
	if !sleep(ctx, time.Duration(r.randomInt(maxRetryDelayMillis))*time.Millisecond) {
		return
	}
	q.Name += "-again"
	r.send(q)
}

func (r *run) disconnectAfterDelay(c *harness.Call) {
	select {
	case <-time.After(disconnectDelay):
		c.Disconnect()
	case <-c.Done():
	}
}

// send sends q to a random host behind the balancer. It returns nil if there is no
// such host or if the request can't be sent.
func (r *run) send(q harness.Request) *harness.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.balancedHosts) == 0 {
		return nil
	}
	host := r.balancedHosts[r.rng.IntN(len(r.balancedHosts))]
	c, err := r.h.Send(host, q)
	if err != nil {
		return nil
	}
	return c
}

// removeFromBalancer stops the balancer from sending requests to a host.
func (r *run) removeFromBalancer(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancedHosts = slices.DeleteFunc(r.balancedHosts, func(h string) bool { return h == host })
}

func (r *run) addToBalancer(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancedHosts = append(r.balancedHosts, host)
}
