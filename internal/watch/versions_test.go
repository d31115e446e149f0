package watch

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// countingStore counts the writes of the record of versions.
type countingStore struct {
	Store
	puts int
}

func (s *countingStore) Put(_ context.Context, _ Stream, key string, _ []byte) (Position, error) {
	if key == versionsKey {
		s.puts++
	}
	return Position{Offset: int64(s.puts)}, nil
}

func TestVersionsOfServicesAreWrittenOnlyWhenTheyChange(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &countingStore{}
	state := NewState(nil, zap.NewNop())
	changes := 0
	state.OnChange = func(Stream) { changes++ }
	self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
	l := links.New(self, peer.NewPool(t.Context(), peer.Hello{Host: self.ID}, peer.NewMux(), clock), clock, zap.NewNop())
	w := NewWatcher(self, state, store, l, clock, zap.NewNop())
	for i, v := range []ServiceVersions{{"s": {"v1"}}, {"s": {"v1"}}, {"s": {"v1", "v2"}}, {"s": {"v1", "v2"}}} {
		if err := w.RecordVersions(t.Context(), v); err != nil {
			t.Fatal(err)
		}
		if want := 1 + i/2; store.puts != want || changes != want {
			t.Errorf("after step %d: %d writes, %d changes, want %d", i, store.puts, changes, want)
		}
	}
	if len(state.Hosts()) != 0 {
		t.Errorf("the record counts as a host: %v", state.Hosts())
	}
	state.ApplyOwn(clock.Now(), Hosts, Record{Key: versionsKey, Value: []byte("{"), Offset: 9})
	if got := state.Versions(); !got.equal(ServiceVersions{"s": {"v1", "v2"}}) {
		t.Errorf("a record that cannot be read changes the versions to %v", got)
	}
}
