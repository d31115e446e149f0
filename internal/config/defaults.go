package config

import "time"

// Values that hold where the document names none.
const (
	// DefaultMaxBodyBytes bounds a request body.
	DefaultMaxBodyBytes int64 = 1 << 20
	// DefaultKeyLifetime bounds the age of an idempotency key.
	DefaultKeyLifetime = time.Hour
	// DefaultWindowMin and DefaultWindowMax bound the requests at a target.
	DefaultWindowMin = 1
	DefaultWindowMax = 16
	// DefaultMaxQueuedPerTarget bounds the queue in front of one target.
	DefaultMaxQueuedPerTarget = 64
	// DefaultWeightLoadsAtOnce bounds concurrent loads from the weight store.
	DefaultWeightLoadsAtOnce = 2
)

// BodyLimit returns the largest request body of s in bytes.
func (s Service) BodyLimit() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}

// KeyLifetime returns the longest age of an idempotency key of s.
func (s Service) KeyLifetime() time.Duration {
	if s.KeyLifetimeSeconds == 0 {
		return DefaultKeyLifetime
	}
	return time.Duration(s.KeyLifetimeSeconds) * time.Second
}

// Window returns the bounds on the requests at t at once.
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

// QueueLimit returns the longest queue in front of one target.
func (l Limits) QueueLimit() int {
	if l.MaxQueuedPerTarget == 0 {
		return DefaultMaxQueuedPerTarget
	}
	return l.MaxQueuedPerTarget
}

// WeightLoads returns how many loads from the weight store may run at once.
func (l Limits) WeightLoads() int {
	if l.WeightLoadsAtOnce == 0 {
		return DefaultWeightLoadsAtOnce
	}
	return l.WeightLoadsAtOnce
}
