package engine

import (
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// cache is an LRU cache of prompt blocks and the log of its changes.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// computed holds every block that was ever computed.
	computed map[uint64]bool
	pending  target.CacheEvent
	events   []timedEvent
	sequence int64
	lag      time.Duration
	gapEvery int64
}

type timedEvent struct {
	at    time.Time
	event target.CacheEvent
}

// use is what the cache had for one prompt.
type use struct {
	cachedTokens     int
	recomputedTokens int
}

func newCache(o Options) *cache {
	c := &cache{computed: make(map[uint64]bool), lag: o.EventLag, gapEvery: o.EventGapEvery}
	size := max(o.CacheTokens/prefix.BlockTokens, 1)
	blocks, err := simplelru.NewLRU(size, func(hash uint64, _ struct{}) {
		c.pending.Evicted = append(c.pending.Evicted, hash)
	})
	if err != nil {
		panic(fmt.Sprintf("prefix cache of %d blocks: %v", size, err))
	}
	c.blocks = blocks
	return c
}

// use looks a prompt up and stores it.
func (c *cache) use(now time.Time, chain []uint64) use {
	var u use
	held := 0
	for held < len(chain) && c.blocks.Contains(chain[held]) {
		held++
	}
	u.cachedTokens = held * prefix.BlockTokens
	for i, hash := range chain {
		c.blocks.Add(hash, struct{}{})
		if i < held {
			continue
		}
		if c.computed[hash] {
			u.recomputedTokens += prefix.BlockTokens
		}
		c.computed[hash] = true
		c.pending.Stored = append(c.pending.Stored, hash)
	}
	c.publish(now)
	return u
}

func (c *cache) publish(now time.Time) {
	if len(c.pending.Stored) == 0 && len(c.pending.Evicted) == 0 {
		return
	}
	c.sequence++
	c.pending.Sequence = c.sequence
	if c.gapEvery == 0 || c.sequence%c.gapEvery != 0 {
		c.events = append(c.events, timedEvent{at: now, event: c.pending})
	}
	c.pending = target.CacheEvent{}
}

func (c *cache) tokens() int { return c.blocks.Len() * prefix.BlockTokens }

// after returns the events after a sequence number that are old enough to show.
func (c *cache) after(now time.Time, sequence int64) []target.CacheEvent {
	events := []target.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.at) >= c.lag {
			events = append(events, e.event)
		}
	}
	return events
}
