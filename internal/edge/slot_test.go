package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
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

func TestSlotAtAnotherStartOfATargetIsNotUsed(t *testing.T) {
	v1, v2 := tables.SoftwareVersion("v1"), tables.SoftwareVersion("v2")
	target := fleet.Target{ID: "t", Service: "s", Version: v1}
	for _, c := range []struct {
		name            string
		granted, needed *tables.SoftwareVersion
		want            bool
	}{
		{"a new stream", &v1, nil, true},
		{"a coordinator of the build before", nil, nil, true},
		{"the coordinator knows another start", &v2, nil, false},
		{"a stream that began at the version", &v1, &v1, true},
		{"a stream that began at another version, by a coordinator of the build before", nil, &v2, false},
		{"a stream that began at another version", &v2, &v2, false},
	} {
		need := slotNeed{service: "s", version: c.needed}
		if got := need.mayUse(&pool.Grant{Target: "t", Version: c.granted}, target); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a request that is sent to a target which has started again for another service.
func TestSlotAtATargetOfAnotherServiceIsNotUsed(t *testing.T) {
	need := slotNeed{service: "s"}
	if need.mayUse(&pool.Grant{Target: "t"}, fleet.Target{ID: "t", Service: "other"}) {
		t.Error("a slot at a target of another service is used")
	}
}
