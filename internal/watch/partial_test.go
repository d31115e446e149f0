package watch

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// pagedStore is a store with a stream of end records whose answers hold perPage records at most.
type pagedStore struct {
	Store
	end, perPage    int64
	reads, listings int
	// down is whether listings fail.
	down bool
}

func (s *pagedStore) Newest(context.Context, Stream) (Page, error) {
	s.listings++
	if s.down {
		return Page{}, ErrUnavailable
	}
	return Page{}, nil
}

func (s *pagedStore) Read(_ context.Context, _ Stream, from int64, _ time.Duration) (Page, error) {
	s.reads++
	page := Page{End: min(from+s.perPage, s.end)}
	for offset := from; offset < page.End; offset++ {
		page.Records = append(page.Records, Record{Key: "k" + strconv.FormatInt(offset, 10), Value: []byte("{}"), Offset: offset})
	}
	page.Partial = page.End < s.end
	return page, nil
}

// targetDecoder takes any value for a target.
type targetDecoder struct{ Decoder }

func (targetDecoder) Target(string, []byte) (fleet.Target, error) { return fleet.Target{}, nil }

// newReader returns a watcher whose state was up to date a minute ago.
func newReader(t *testing.T, store Store) *Watcher {
	t.Helper()
	clock := clockwork.NewFakeClock()
	self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
	l := links.New(self, peer.NewPool(t.Context(), peer.Hello{Host: self.ID}, peer.NewMux(), clock), clock, zap.NewNop())
	w := NewWatcher(self, NewState(targetDecoder{}, zap.NewNop()), store, l, clock, zap.NewNop())
	for _, name := range []Stream{Configs, Targets} {
		if err := w.list(t.Context(), name); err != nil {
			t.Fatal(err)
		}
	}
	clock.Advance(time.Minute)
	w.setPolling(Configs, true)
	return w
}

// Guards against a host that takes its targets for up to date after an answer of the store that
// holds the first part of the new records only.
func TestStateIsUpToDateOnlyAfterTheLastOfTheNewRecords(t *testing.T) {
	store := &pagedStore{end: 10, perPage: 3}
	w := newReader(t, store)
	if err := w.read(t.Context(), Targets, 0); err != nil {
		t.Fatal(err)
	}
	if got := w.State.Mark(Targets).End; got != store.end || w.Age() != 0 {
		t.Errorf("read up to %d of %d in %d reads, age %v", got, store.end, store.reads, w.Age())
	}
}

// Guards against a loop of reads that bring nothing, and against taking one for up to date.
func TestStreamIsListedIfAnAnswerHasNoneOfTheRecordsThatItAnnounces(t *testing.T) {
	store := &pagedStore{end: 10}
	w := newReader(t, store)
	store.listings = 0
	if err := w.read(t.Context(), Targets, 0); err != nil || store.reads != 1 || store.listings != 1 {
		t.Errorf("%v after %d reads and %d listings", err, store.reads, store.listings)
	}
	store.down = true
	if err := w.read(t.Context(), Targets, 0); !errors.Is(err, ErrUnavailable) {
		t.Errorf("%v without a listing", err)
	}
}
