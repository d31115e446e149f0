package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func target(n int) fleet.Target {
	return fleet.Target{ID: tables.TargetID(fmt.Sprint("t", n)), Address: fmt.Sprint("a", n), StartedAt: start}
}

func listed(fleet.Target) bool { return true }

func TestPathIsLostToOneTargetWhileOthersAreHeard(t *testing.T) {
	var p reach.Paths
	p.Received(at(100))
	if !p.Failed(at(510), target(1), at(10)) || !p.Lost(target(1)) || p.Lost(target(2)) {
		t.Error("a failed dial must lose the path to its target only")
	}
	if p.Failed(at(520), target(1), at(20)) {
		t.Error("the path was lost twice")
	}
}

func TestHangWhileNoTargetIsHeardLosesAllPaths(t *testing.T) {
	var p reach.Paths
	p.Received(at(0))
	p.Failed(at(510), target(1), at(10))
	if !p.Lost(target(2)) || !p.AllLost("") {
		t.Error("the host has heard nothing for half a second and sends to other targets")
	}
	p.Received(at(600))
	if p.Lost(target(2)) || !p.Lost(target(1)) {
		t.Error("a word of one target must bring back all but those that could not be connected to")
	}
}

func TestHostThatWaitsForOneSilentTargetFindsThatItReachesTheOthers(t *testing.T) {
	var p reach.Paths
	p.Failed(at(510), target(1), at(10))
	if !p.Lost(target(2)) {
		t.Fatal("the path to all is not lost")
	}
	other, due := p.NextCheck(at(520), []fleet.Target{target(1), target(2)}, 0)
	if !due || other.ID != target(2).ID {
		t.Fatalf("checked %v", other.ID)
	}
	if _, again := p.NextCheck(at(530), []fleet.Target{target(2)}, 0); again {
		t.Error("checked twice at once")
	}
	p.Connected(at(540), other)
	if p.Lost(target(2)) || !p.Lost(target(1)) {
		t.Error("only the path to the silent target is lost")
	}
}

func TestProbesGoOneByOneWithBackoffAndFollowTheFirstSuccess(t *testing.T) {
	var p reach.Paths
	for n := range 3 {
		p.Failed(at(0), target(n), at(0))
	}
	if _, due := p.NextProbe(at(100), listed); due {
		t.Error("a probe came at once")
	}
	first, due := p.NextProbe(at(300), listed)
	if !due {
		t.Fatal("no probe")
	}
	p.ProbeFailed(at(800), first)
	second, _ := p.NextProbe(at(810), listed)
	if second.ID == first.ID {
		t.Error("the probe that failed was repeated at once")
	}
	if !p.Connected(at(820), second) || p.Lost(second) {
		t.Error("a probe that connects must bring back the path")
	}
	for range 2 {
		if _, due := p.NextProbe(at(820), listed); !due {
			t.Error("after a probe that connects those of the other targets are due")
		}
	}
}

func TestTargetThatIsNoLongerListedIsForgotten(t *testing.T) {
	var p reach.Paths
	p.Failed(at(500), target(1), at(0))
	p.NextProbe(at(5000), func(fleet.Target) bool { return false })
	if p.Lost(target(1)) || p.AllLost("") {
		t.Error("the path to a target that is gone stays lost")
	}
}

func TestNewStartOfATargetHasItsOwnPath(t *testing.T) {
	var p reach.Paths
	p.Received(at(10))
	p.Failed(at(20), target(1), at(10))
	restarted := target(1)
	restarted.StartedAt = start.Add(time.Second)
	if p.Lost(restarted) {
		t.Error("a target that has started again is not tried")
	}
}

func hosts(domains ...string) []fleet.Host {
	var out []fleet.Host
	for n, domain := range domains {
		out = append(out, fleet.Host{ID: tables.HostID(fmt.Sprint("h", n)), Domain: tables.DomainID(domain), Cores: 0.25})
	}
	return out
}

func half() float64 { return 0.5 }

func TestRequestsGoToTheOwnDomainFirstAndAreSpread(t *testing.T) {
	var r reach.Relays
	all := hosts("a", "a", "a", "b", "b")
	sent := make(map[tables.HostID]int)
	for range 40 {
		h, found := r.Choose(start, all[0], "t", all, nil, half)
		if !found {
			t.Fatal("no host")
		}
		r.Begin(h.ID)
		sent[h.ID]++
	}
	if sent["h0"] > 0 || sent["h1"] < 10 || sent["h2"] < 10 || sent["h3"] < 5 || sent["h4"] < 5 {
		t.Errorf("forty requests at once were sent by %v", sent)
	}
}

func TestLoadThatAHostHasNamedIsForgotten(t *testing.T) {
	var r reach.Relays
	all := hosts("a", "a", "b")
	r.RecordLoad(start, "h1", 100)
	if h, _ := r.Choose(start, all[0], "t", all, nil, half); h.ID != "h2" {
		t.Errorf("asked %s, which is loaded", h.ID)
	}
	if h, _ := r.Choose(start.Add(time.Second), all[0], "t", all, nil, half); h.ID != "h1" {
		t.Errorf("asked %s because of a load of long ago", h.ID)
	}
}

func TestHostThatRefusesIsAvoidedForItsReason(t *testing.T) {
	var r reach.Relays
	all := hosts("a", "a", "b")
	r.Refused(start, "h1", "t1", reach.Unreachable)
	if h, _ := r.Choose(start, all[0], "t1", all, nil, half); h.ID != "h2" {
		t.Errorf("asked %s for a target that it cannot reach", h.ID)
	}
	if h, _ := r.Choose(start, all[0], "t2", all, nil, half); h.ID != "h1" {
		t.Errorf("asked %s although the one of the own domain reaches this target", h.ID)
	}
	r.Refused(start, "h1", "t2", reach.CutOff)
	r.Failed(start, "h2")
	if h, found := r.Choose(start, all[0], "t3", all, nil, half); found {
		t.Errorf("asked %s, which was no help", h.ID)
	}
	if _, found := r.Choose(start.Add(2*time.Second), all[0], "t3", all, nil, half); !found {
		t.Error("hosts are avoided for ever")
	}
}
