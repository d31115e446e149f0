package shutdown

import (
	"math/bits"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRoutes bounds the number of routes of which a history is kept.
	maxRoutes = 256
	// keptSamples is the number of the latest requests that count.
	keptSamples = 32
	// minSamples is the number of requests from which something is expected of the next one.
	minSamples = 4
	// runQuantile is the part of the requests that run no longer than expected. A request that
	// runs longer may be cut off after it has begun.
	runQuantile = 0.95
	// waitQuantile is the part of the requests that wait no longer than expected.
	waitQuantile = 0.5
)

// History holds how long the latest requests of each route have waited and run. It is not safe
// for concurrent use.
type History struct {
	routes *simplelru.LRU[string, *routeHistory]
}

// routeHistory holds the samples of a route. bySize are the runs by the number of binary digits of
// the maximum number of output tokens.
type routeHistory struct {
	waits, runs samples
	bySize      map[int]*samples
}

// NewHistory returns a history without requests.
func NewHistory() *History {
	routes, err := simplelru.NewLRU[string, *routeHistory](maxRoutes, nil)
	if err != nil {
		panic("shutdown: LRU of positive size refused: " + err.Error())
	}
	return &History{routes: routes}
}

// Record records a request that was answered as a whole. outputTokens is the maximum number of its
// output tokens; zero if unknown. waited is how long it waited for its slot, and ran how long the
// answer took from then on.
func (h *History) Record(route string, outputTokens int, waited, ran time.Duration) {
	known, ok := h.routes.Get(route)
	if !ok {
		known = &routeHistory{bySize: make(map[int]*samples)}
		h.routes.Add(route, known)
	}
	known.waits.add(waited)
	known.runs.add(ran)
	size := sizeOf(outputTokens)
	if known.bySize[size] == nil {
		known.bySize[size] = &samples{}
	}
	known.bySize[size].add(ran)
}

// Outlook returns what is expected of a request that has waited for its slot for a time.
// usualRun is the run that is expected if too few requests are known.
func (h *History) Outlook(route string, outputTokens int, waited, usualRun time.Duration) Outlook {
	known, ok := h.routes.Get(route)
	if !ok {
		return Outlook{Run: usualRun}
	}
	return Outlook{Run: known.run(outputTokens, usualRun), Wait: known.wait(waited)}
}

// run returns the expected run from the requests of the same size, from all if those are too few.
func (r *routeHistory) run(outputTokens int, usualRun time.Duration) time.Duration {
	for _, s := range []*samples{r.bySize[sizeOf(outputTokens)], &r.runs} {
		if s != nil && s.count() >= minSamples {
			return s.quantile(runQuantile)
		}
	}
	return max(usualRun, r.runs.quantile(1))
}

// wait returns how much longer a request is expected to wait; zero if it has waited longer than
// most or too few are known.
func (r *routeHistory) wait(waited time.Duration) time.Duration {
	if r.waits.count() < minSamples {
		return 0
	}
	return max(r.waits.quantile(waitQuantile)-waited, 0)
}

// sizeOf returns the size class of a request, in binary digits.
func sizeOf(outputTokens int) int { return bits.Len(uint(max(outputTokens, 0))) }

// samples holds the latest durations of a kind. The zero value has none.
type samples struct {
	latest [keptSamples]time.Duration
	added  int
}

func (s *samples) add(d time.Duration) {
	s.latest[s.added%keptSamples] = d
	s.added++
}

func (s *samples) count() int { return min(s.added, keptSamples) }

// quantile returns the shortest duration that the part q of the samples does not exceed; zero if
// there are none.
func (s *samples) quantile(q float64) time.Duration {
	n := s.count()
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.latest[:n]))
	return sorted[min(int(q*float64(n)), n-1)]
}
