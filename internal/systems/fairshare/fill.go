package fairshare

import (
	"math"
	"slices"
)

// unbounded is the level at which no customer has a surplus.
var unbounded = math.Inf(1)

// levelOf returns the max-min level of demands: the amount up to which each customer's
// demand is met so that together they get the capacity. It is unbounded if the capacity
// meets all demands.
func levelOf(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	rest := max(capacity, 0)
	for i, demand := range demands {
		share := rest / float64(len(demands)-i)
		if demand > share {
			return share
		}
		rest -= demand
	}
	return unbounded
}
