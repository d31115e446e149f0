package engine

import (
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// cache is an LRU cache of prompt blocks with a log of its changes. It is not
// safe for concurrent use.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// everComputed contains the hashes of all blocks computed since the last
	// crash, including evicted ones.
	everComputed map[uint64]bool
	pending      target.CacheEvent
	events       []timedEvent
	sequence     int64
	eventLag     time.Duration
	dropEvery    int64
}

type timedEvent struct {
	publishedAt time.Time
	event       target.CacheEvent
}

// lookupResult describes the cached part of one prompt.
type lookupResult struct {
	cachedTokens int
	// recomputedTokens counts the tokens after the cached prefix that were
	// computed for an earlier prompt.
	recomputedTokens int
}

func newCache(o Options) *cache {
	c := &cache{everComputed: make(map[uint64]bool), eventLag: o.EventLag, dropEvery: o.DropEventEvery}
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

// lookupAndStore looks up the longest cached prefix of a prompt, given as the
// chain of its block hashes, and stores all blocks of the prompt.
func (c *cache) lookupAndStore(now time.Time, chain []uint64) lookupResult {
	var result lookupResult
	hits := 0
	for hits < len(chain) && c.blocks.Contains(chain[hits]) {
		hits++
	}
	result.cachedTokens = hits * prefix.BlockTokens
	for i, hash := range chain {
		c.blocks.Add(hash, struct{}{})
		if i < hits {
			continue
		}
		if c.everComputed[hash] {
			result.recomputedTokens += prefix.BlockTokens
		}
		c.everComputed[hash] = true
		c.pending.Stored = append(c.pending.Stored, hash)
	}
	c.publish(now)
	return result
}

// publish appends the pending changes to the event log as one event. If
// dropEvery divides its sequence number, the event is dropped.
func (c *cache) publish(now time.Time) {
	if len(c.pending.Stored) == 0 && len(c.pending.Evicted) == 0 {
		return
	}
	c.sequence++
	c.pending.Sequence = c.sequence
	if c.dropEvery == 0 || c.sequence%c.dropEvery != 0 {
		c.events = append(c.events, timedEvent{publishedAt: now, event: c.pending})
	}
	c.pending = target.CacheEvent{}
}

func (c *cache) sizeTokens() int { return c.blocks.Len() * prefix.BlockTokens }

// eventsAfter returns the events with a higher sequence number that are at
// least eventLag old.
func (c *cache) eventsAfter(now time.Time, sequence int64) []target.CacheEvent {
	events := []target.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.publishedAt) >= c.eventLag {
			events = append(events, e.event)
		}
	}
	return events
}
