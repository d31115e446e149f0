package originlog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
)

type fakeStore struct {
	records [][]byte
	down    bool
	reads   int
}

var errDown = errors.New("down")

func (s *fakeStore) AppendOrigins(_ context.Context, record []byte) error {
	if s.down {
		return errDown
	}
	s.records = append(s.records, record)
	return nil
}

func (s *fakeStore) RecentOrigins(context.Context, int) ([][]byte, error) {
	s.reads++
	if s.down {
		return nil, errDown
	}
	return s.records, nil
}

// fakeOrigins grants one stream a step.
type fakeOrigins struct {
	mixed   bool
	granted []origin.StreamID
	merged  int
}

func (o *fakeOrigins) Mixed() bool { return o.mixed }

func (o *fakeOrigins) BegunSince(sequence int) (origin.Batch, int) {
	b := make(origin.Batch)
	for _, id := range o.granted[min(sequence, len(o.granted)):] {
		b.Add(id, "v1")
	}
	return b, len(o.granted)
}

func (o *fakeOrigins) Merge(b origin.Batch) { o.merged += b.Len() }

func newLog(store Store, origins Origins, coordinator *bool) (*Log, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &Log{Store: store, Origins: origins, Coordinator: func() bool { return *coordinator }, Clock: clock, Logger: zap.NewNop()}, clock
}

func TestNothingIsWrittenWhileServicesHaveOneVersion(t *testing.T) {
	store, coordinator := &fakeStore{}, true
	l, _ := newLog(store, &fakeOrigins{granted: []origin.StreamID{1}}, &coordinator)
	l.step(t.Context())
	if len(store.records) > 0 || store.reads > 0 {
		t.Errorf("%d records written, %d reads", len(store.records), store.reads)
	}
}

func TestNewCoordinatorReadsOnceWhatTheLastOneHasWritten(t *testing.T) {
	store, coordinator := &fakeStore{}, true
	first, _ := newLog(store, &fakeOrigins{mixed: true, granted: []origin.StreamID{1, 2}}, &coordinator)
	first.step(t.Context())
	store.records = append(store.records, []byte("another writer's"))
	next := &fakeOrigins{mixed: true}
	second, _ := newLog(store, next, &coordinator)
	for range 3 {
		second.step(t.Context())
	}
	if next.merged != 2 || store.reads != 2 {
		t.Errorf("%d streams after %d reads of two coordinators", next.merged, store.reads)
	}
	coordinator = false
	second.step(t.Context())
	coordinator = true
	second.step(t.Context())
	if store.reads != 3 {
		t.Error("a host that became the coordinator again has not read what was written meanwhile")
	}
}

func TestWhatTheStoreHasNotTakenIsWrittenOnceItIsBack(t *testing.T) {
	store, coordinator := &fakeStore{down: true}, true
	origins := &fakeOrigins{mixed: true, granted: []origin.StreamID{1}}
	l, _ := newLog(store, origins, &coordinator)
	l.step(t.Context())
	origins.granted = append(origins.granted, 2)
	store.down = false
	l.step(t.Context())
	reader := &fakeOrigins{mixed: true}
	other, _ := newLog(store, reader, &coordinator)
	other.step(t.Context())
	if reader.merged != 2 || !l.loaded {
		t.Errorf("%d streams were read, loaded %v", reader.merged, l.loaded)
	}
}

func TestHostThatCeasesToBeTheCoordinatorWritesItsLastGrantsAtOnce(t *testing.T) {
	store, coordinator := &fakeStore{}, true
	origins := &fakeOrigins{mixed: true, granted: []origin.StreamID{1}}
	l, clock := newLog(store, origins, &coordinator)
	l.step(t.Context())
	origins.granted = append(origins.granted, 2)
	coordinator = false
	clock.Advance(interval)
	l.step(t.Context())
	if len(store.records) != 2 {
		t.Errorf("%d records written", len(store.records))
	}
}

func TestFirstGrantsOfAHostWithoutACoordinatorAreWrittenAtOnce(t *testing.T) {
	store, coordinator := &fakeStore{}, false
	origins := &fakeOrigins{mixed: true}
	l, clock := newLog(store, origins, &coordinator)
	l.step(t.Context())
	origins.granted = append(origins.granted, 1)
	clock.Advance(interval)
	l.step(t.Context())
	if len(store.records) != 1 {
		t.Errorf("%d records written", len(store.records))
	}
}

func TestHostWithoutACoordinatorWritesItsGrantsOnceASecond(t *testing.T) {
	store, coordinator := &fakeStore{}, false
	origins := &fakeOrigins{mixed: true}
	l, clock := newLog(store, origins, &coordinator)
	for n := range 20 {
		origins.granted = append(origins.granted, origin.StreamID(n+1))
		l.step(t.Context())
		clock.Advance(100 * time.Millisecond)
	}
	if len(store.records) != 2 || store.reads > 0 {
		t.Errorf("%d records written and %d reads in two seconds", len(store.records), store.reads)
	}
}
