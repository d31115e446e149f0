// Package weightstore is a stand-in for the platform's rate-limited store of
// model weights.
package weightstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Options set the limits of a Store.
type Options struct {
	// PermitsPerSecond is the rate of permits; zero means no limit.
	PermitsPerSecond float64
	// Burst is how many permits may be had at once; at least 1.
	Burst int
	// Lasts is the life of a permit; zero means defaultLasts.
	Lasts time.Duration
}

const (
	defaultLasts    = 10 * time.Second
	maxRequestBytes = 64 << 10
)

// Store is the weight store. Its methods may be called concurrently.
type Store struct {
	clock   clockwork.Clock
	lasts   time.Duration
	limiter *rate.Limiter

	mu      sync.Mutex
	fences  map[string]int64
	granted int
	refused int
	down    bool
}

var _ ports.WeightStore = (*Store)(nil)

// New returns a store.
func New(clock clockwork.Clock, opts Options) *Store {
	s := &Store{clock: clock, lasts: opts.Lasts, fences: make(map[string]int64)}
	if s.lasts == 0 {
		s.lasts = defaultLasts
	}
	if opts.PermitsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opts.PermitsPerSecond), max(opts.Burst, 1))
	}
	return s
}

// Acquire grants one permit. It refuses a fencing number lower than one that
// it has seen for the artefact, and more permits than its rate. Errors wrap
// ports.ErrUnavailable.
func (s *Store) Acquire(_ context.Context, artefact string, fence int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(artefact, fence); err != nil {
		s.refused++
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", artefact, ports.ErrUnavailable, err)
	}
	s.fences[artefact] = fence
	s.granted++
	return s.lasts, nil
}

func (s *Store) check(artefact string, fence int64) error {
	if s.down {
		return fmt.Errorf("outage")
	}
	if seen := s.fences[artefact]; fence < seen {
		return fmt.Errorf("fencing number %d is older than %d", fence, seen)
	}
	if s.limiter != nil && !s.limiter.AllowN(s.clock.Now(), 1) {
		return fmt.Errorf("rate limit of %g permits per second", float64(s.limiter.Limit()))
	}
	return nil
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Counts returns the permits granted and refused.
func (s *Store) Counts() (granted, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted, s.refused
}

// Handler serves the store over HTTP; docs/protocols.md has the wire format.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/permits", s.serveAcquire)
	return mux
}

func (s *Store) serveAcquire(w http.ResponseWriter, r *http.Request) {
	body, err := httpcall.ReadBody(r.Body, maxRequestBytes)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	var req ports.PermitRequest
	if err := json.Unmarshal(body, &req); err != nil {
		httpcall.WriteProblem(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	lasts, err := s.Acquire(r.Context(), req.Artefact, req.Fence)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
		return
	}
	httpcall.WriteJSON(w, http.StatusOK, ports.Permit{ValidMillis: lasts.Milliseconds()})
}
