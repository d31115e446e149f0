package config

import "time"

// Defaults for settings that the document does not set.
const (
	// DefaultMaxBodyBytes is the maximum size of a request body.
	DefaultMaxBodyBytes int64 = 1 << 20
	// DefaultKeyLifetime is the maximum age of an idempotency key.
	DefaultKeyLifetime = time.Hour
	// DefaultWindowMin and DefaultWindowMax are the bounds on the number of
	// concurrent requests at a target.
	DefaultWindowMin = 1
	DefaultWindowMax = 16
	// DefaultMaxQueuedPerTarget is the maximum number of requests queued for
	// one target.
	DefaultMaxQueuedPerTarget = 64
	// DefaultWeightLoadsAtOnce is the maximum number of concurrent loads from
	// the weight store.
	DefaultWeightLoadsAtOnce = 2
)

// BodyLimit returns the maximum size in bytes of a request body of s.
func (s Service) BodyLimit() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}

// KeyLifetime returns the maximum age of an idempotency key of s.
func (s Service) KeyLifetime() time.Duration {
	if s.KeyLifetimeSeconds == 0 {
		return DefaultKeyLifetime
	}
	return time.Duration(s.KeyLifetimeSeconds) * time.Second
}

// Window returns the bounds on the number of concurrent requests at t.
func (t Target) Window() (low, high int) {
	high = t.WindowMax
	if high == 0 {
		high = max(DefaultWindowMax, t.WindowMin)
	}
	low = t.WindowMin
	if low == 0 {
		low = min(DefaultWindowMin, high)
	}
	return low, high
}

// QueueLimit returns the maximum number of requests queued for one target.
func (l Limits) QueueLimit() int {
	if l.MaxQueuedPerTarget == 0 {
		return DefaultMaxQueuedPerTarget
	}
	return l.MaxQueuedPerTarget
}

// WeightLoads returns the maximum number of concurrent loads from the weight
// store.
func (l Limits) WeightLoads() int {
	if l.WeightLoadsAtOnce == 0 {
		return DefaultWeightLoadsAtOnce
	}
	return l.WeightLoadsAtOnce
}
