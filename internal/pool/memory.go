package pool

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// tokenCounts is allocation.TokenCounts in messages, apart from the prompt of a slot request.
// It is sent only where the memory of targets is limited.
type tokenCounts struct {
	Prompt    int `json:"pt,omitempty"`
	MaxOutput int `json:"mo,omitempty"`
	Hint      int `json:"lh,omitempty"`
}

func (t *tokenCounts) counts() allocation.TokenCounts {
	if t == nil {
		return allocation.TokenCounts{}
	}
	return allocation.TokenCounts{Prompt: t.Prompt, MaxOutput: t.MaxOutput, Hint: t.Hint}
}

// tokenCounts returns what the caller stated, or nil if it is not to be sent.
func (c *Client) tokenCounts(r SlotRequest) *tokenCounts {
	if !c.LimitMemory || !r.HasTokenCounts {
		return nil
	}
	return &tokenCounts{Prompt: r.PromptTokens, MaxOutput: r.MaxOutputTokens, Hint: r.OutputHint}
}

// ReportEvents keeps the number of events that the target has sent, for the release.
func (g *Grant) ReportEvents(n int) { g.events = n }

// eventCount returns the number of events of a release report.
func (c *Client) eventCount(g *Grant, outcome allocation.Outcome) int {
	if !c.LimitMemory || outcome != allocation.Succeeded {
		return 0
	}
	return g.events
}

// memoryOf returns the memory of the targets of each service. divisor is the number of hosts
// among which it is divided.
func (c *Coordinator) memoryOf(config *fleet.Config, divisor int) map[tables.ServiceID]allocation.Memory {
	out := make(map[tables.ServiceID]allocation.Memory)
	if config == nil || !c.LimitMemory {
		return out
	}
	for id, service := range config.Services {
		if service.KVCacheTokens > 0 {
			out[id] = allocation.Memory{Tokens: (service.KVCacheTokens + divisor - 1) / divisor, TokensPerEvent: service.TokensPerEvent}
		}
	}
	return out
}

// OverMemory reports whether the requests that this coordinator counts at a target exceed
// its memory, or did shortly before. A crash of the target is then no evidence against its
// requests.
func (c *Coordinator) OverMemory(service tables.ServiceID, target tables.TargetID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.OverMemory(c.clock.Now(), service, target)
}

// logExcusedLoss logs that a lost connection does not count for a target.
func logExcusedLoss(logger *zap.Logger, e allocation.ExcusedLoss) {
	event.MemoryLossExcused.Log(logger, zap.String("target", string(e.Target)), zap.String("host", string(e.Host)),
		zap.Float64("tokens", e.Tokens), zap.Int("memory", e.Memory), zap.Duration("over_ago", e.OverAgo.Round(time.Millisecond)))
}
