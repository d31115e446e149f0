package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestStreamInTheMiddleMayWaitForItsNextSlot(t *testing.T) {
	clock := clockwork.NewFakeClock()
	now := clock.Now()
	ex := &exchange{
		server:   &Server{Clock: clock},
		request:  &Request{Arrived: now.Add(-5 * time.Second)},
		route:    &fleet.Route{Kind: fleet.Stream, Resumable: true, CallerTimeout: 2 * time.Second},
		deadline: now.Add(10 * time.Second),
		tried:    []tables.TargetID{"t"},
	}
	if got := ex.slotRequest(ex.need()).MaxWait; got != 0 {
		t.Errorf("a caller that got nothing for 5s may wait %v more", got)
	}
	ex.relay.started, ex.relay.latestAt = true, now.Add(-100*time.Millisecond)
	if got, want := ex.slotRequest(ex.need()).MaxWait, 1400*time.Millisecond; got != want {
		t.Errorf("a caller that got an event 0.1s ago may wait %v, want %v", got, want)
	}
}
