// Package weightstore is a stand-in for the platform's store of model weights,
// which grants permits to load weights at a limited rate.
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

// Options configures a Store.
type Options struct {
	// PermitsPerSecond is the rate at which permits are granted. Zero means no limit.
	PermitsPerSecond float64
	// Burst is the size of the token bucket for PermitsPerSecond. Values below 1
	// mean 1.
	Burst int
	// PermitLifetime is the time for which a permit is valid. Zero means
	// defaultPermitLifetime.
	PermitLifetime time.Duration
}

const (
	defaultPermitLifetime = 10 * time.Second
	maxRequestBytes       = 64 << 10
)

// Store simulates the weight store. Its methods may be called concurrently.
type Store struct {
	clock          clockwork.Clock
	permitLifetime time.Duration
	limiter        *rate.Limiter

	mu sync.Mutex
	// fences maps each load ID to the fencing number of its latest permit.
	fences  map[string]int64
	granted int
	refused int
	down    bool
}

var _ ports.WeightStore = (*Store)(nil)

// New returns a store that has granted no permits.
func New(clock clockwork.Clock, opts Options) *Store {
	s := &Store{clock: clock, permitLifetime: opts.PermitLifetime, fences: make(map[string]int64)}
	if s.permitLifetime == 0 {
		s.permitLifetime = defaultPermitLifetime
	}
	if opts.PermitsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opts.PermitsPerSecond), max(opts.Burst, 1))
	}
	return s
}

// Acquire grants one permit for a load ID and returns the time for which it is
// valid. It refuses a fencing number lower than that of the latest permit for
// the load ID, and permits above the rate limit. Errors wrap
// ports.ErrUnavailable.
func (s *Store) Acquire(_ context.Context, loadID string, fence int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(loadID, fence); err != nil {
		s.refused++
		return 0, fmt.Errorf("acquire permit for %q: %w: %w", loadID, ports.ErrUnavailable, err)
	}
	s.fences[loadID] = fence
	s.granted++
	return s.permitLifetime, nil
}

// check returns the reason to refuse a permit, or nil. It consumes a token of the
// rate limit if the permit may be granted.
func (s *Store) check(loadID string, fence int64) error {
	if s.down {
		return fmt.Errorf("outage")
	}
	if latest := s.fences[loadID]; fence < latest {
		return fmt.Errorf("fencing number %d is older than %d", fence, latest)
	}
	if s.limiter != nil && !s.limiter.AllowN(s.clock.Now(), 1) {
		return fmt.Errorf("rate limit of %g permits per second", float64(s.limiter.Limit()))
	}
	return nil
}

// SetDown starts or ends an outage, during which every Acquire is refused.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Counts returns the numbers of permits granted and refused so far.
func (s *Store) Counts() (granted, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted, s.refused
}

// Handler returns the HTTP handler of the store; docs/protocols.md specifies the
// wire format.
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
	lifetime, err := s.Acquire(r.Context(), req.LoadID, req.Fence)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
		return
	}
	httpcall.WriteJSON(w, http.StatusOK, ports.Permit{ValidMillis: lifetime.Milliseconds()})
}
