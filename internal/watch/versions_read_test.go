package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// slowStore answers reads after a delay, or when their context ends.
type slowStore struct {
	Store
	delay time.Duration
	reads map[Stream]int
}

func (s *slowStore) wait(ctx context.Context, name Stream) error {
	s.reads[name]++
	select {
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	case <-time.After(s.delay):
		return nil
	}
}

func (s *slowStore) Read(ctx context.Context, name Stream, from int64, _ time.Duration) (Page, error) {
	return Page{End: from}, s.wait(ctx, name)
}

func (s *slowStore) Newest(ctx context.Context, name Stream) (Page, error) {
	return Page{}, s.wait(ctx, name)
}

func newSlowWatcher(t *testing.T) (*Watcher, *slowStore) {
	store := &slowStore{reads: make(map[Stream]int)}
	clock := clockwork.NewRealClock()
	self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
	l := links.New(self, peer.NewPool(t.Context(), peer.Hello{Host: self.ID}, peer.NewMux(), clock), clock, zap.NewNop())
	return NewWatcher(self, NewState(nil, zap.NewNop()), store, l, clock, zap.NewNop()), store
}

// Guards against a version that is taken for absent since the list of targets was read before it appeared.
func TestVersionsAreReadOnceForARequestAndAgainForALaterOne(t *testing.T) {
	w, store := newSlowWatcher(t)
	for n := 1; n <= 3; n++ {
		arrived := time.Now()
		if w.VersionsReadSince(arrived) {
			t.Fatalf("request %d: read before it arrived", n)
		}
		for range 2 {
			if err := w.ReadVersions(t.Context(), arrived); err != nil || !w.VersionsReadSince(arrived) {
				t.Fatalf("request %d: %v", n, err)
			}
		}
		// The record of versions is read after a listing only.
		if store.reads[Targets] != n || store.reads[Hosts] != 1 {
			t.Errorf("after request %d: reads %v", n, store.reads)
		}
	}
}

// Guards against a store that counts as unreachable since a request would not wait for it.
func TestSlowReadOfVersionsIsNoOutage(t *testing.T) {
	w, store := newSlowWatcher(t)
	arrived := time.Now()
	if err := w.ReadVersions(t.Context(), arrived); err != nil {
		t.Fatal(err)
	}
	store.delay = 2 * versionsReadTimeout
	left, leave := context.WithCancel(t.Context())
	leave()
	for name, ctx := range map[string]context.Context{"waits": t.Context(), "has left": left} {
		if err := w.ReadVersions(ctx, time.Now()); err == nil {
			t.Errorf("a request that %s: no error", name)
		}
		if w.storeDown {
			t.Errorf("a request that %s: the store counts as down", name)
		}
	}
}
