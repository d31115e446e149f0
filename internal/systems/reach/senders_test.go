package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failure is a send that began and failed at a time.
func failure(host tables.HostID, target tables.TargetID, ms int) reach.Failure {
	return reach.Failure{Host: host, Target: fleet.Target{ID: target}, BegunAt: at(ms), At: at(ms)}
}

func TestHostThatFailsAtSeveralTargetsWhileAnotherSucceedsIsNoWitness(t *testing.T) {
	s := reach.NewSenders()
	s.Succeeded(at(0), "sound", "t9")
	s.Failed(at(10), failure("cut", "t1", 10))
	if s.Discounted(at(10), failure("cut", "t1", 10)) {
		t.Error("one failure was discounted: a target that crashes must be left at once")
	}
	s.Failed(at(20), failure("cut", "t2", 20))
	for _, failedAt := range []int{10, 20} {
		if !s.Discounted(at(30), failure("cut", "t1", failedAt)) {
			t.Errorf("the failure at %d ms counts", failedAt)
		}
	}
}

func TestAllHostsCutOffAreBelievedSinceNobodyKnowsBetter(t *testing.T) {
	s := reach.NewSenders()
	for n := range 3 {
		host := tables.HostID(fmt.Sprint("h", n))
		s.Succeeded(at(0), host, "t9")
		s.Failed(at(10), failure(host, "t1", 10))
		s.Failed(at(20), failure(host, "t2", 20))
	}
	if s.Discounted(at(30), failure("h0", "t1", 20)) {
		t.Error("the failure of a host was discounted although no other host reaches a target")
	}
}

func TestCrashesOfSeveralTargetsCountAfterTheNextSuccess(t *testing.T) {
	s := reach.NewSenders()
	s.Succeeded(at(0), "other", "t9")
	s.Failed(at(10), failure("h", "t1", 10))
	s.Failed(at(11), failure("h", "t2", 11))
	s.Succeeded(at(60), "h", "t9")
	if s.Discounted(at(61), failure("h", "t1", 11)) {
		t.Error("failures before a success within a moment were discounted for good")
	}
}

func TestFailuresOfACutDoNotCountAfterItsEnd(t *testing.T) {
	s := reach.NewSenders()
	s.Succeeded(at(0), "other", "t9")
	s.Failed(at(10), failure("h", "t1", 10))
	s.Failed(at(11), failure("h", "t2", 11))
	s.Succeeded(at(2000), "h", "t9")
	if !s.Discounted(at(2001), failure("h", "t1", 11)) {
		t.Error("the failures of a cut eject targets once the host has its path again")
	}
	s.Failed(at(2100), failure("h", "t1", 2100))
	if s.Discounted(at(2101), failure("h", "t1", 2100)) {
		t.Error("a new failure after the cut was discounted")
	}
}

func TestFailureToConnectNeedsAnotherHostThatAgrees(t *testing.T) {
	s := reach.NewSenders()
	s.Succeeded(at(0), "h1", "t1")
	s.Succeeded(at(0), "h2", "t1")
	first, second := failure("h1", "t1", 10), failure("h2", "t1", 30)
	first.Unsent, second.Unsent = true, true
	s.Failed(at(10), first)
	if !s.Discounted(at(10), first) {
		t.Error("a host that alone could not connect ejects the target for all")
	}
	s.Failed(at(30), second)
	if s.Discounted(at(30), first) || s.Discounted(at(30), second) {
		t.Error("two hosts cannot connect, nobody else can, and the target is granted")
	}
	s.Succeeded(at(40), "h3", "t1")
	if !s.Discounted(at(40), first) || !s.Discounted(at(40), second) {
		t.Error("another host reaches the target, and it is ejected for what two could not connect to")
	}
}

func TestBrokenAnswerOfAHostThatReportsItsLostPathIsNoWitnessOnceAnotherReachesTheTarget(t *testing.T) {
	s := reach.NewSenders()
	s.Succeeded(at(0), "cut", "t1")
	s.Failed(at(10), failure("cut", "t1", 10))
	s.RecordHost(reach.HostReport{Host: "cut", Paths: reach.Report{Lost: []tables.TargetID{"t1"}}})
	if s.Discounted(at(20), failure("cut", "t1", 10)) {
		t.Error("a crash is not believed: the host cannot connect to the target any more")
	}
	s.Succeeded(at(30), "sound", "t1")
	if !s.Discounted(at(30), failure("cut", "t1", 10)) {
		t.Error("the target answers another host, and is ejected")
	}
	s.RecordHost(reach.HostReport{Host: "cut"})
	if s.Discounted(at(30), failure("cut", "t1", 10)) {
		t.Error("a target that breaks a part of its answers is not ejected")
	}
}

func TestHostsThatReachATargetAreNamedByTheirLoad(t *testing.T) {
	s := reach.NewSenders()
	target := fleet.Target{ID: "t1", Service: "s"}
	for n, host := range []tables.HostID{"small", "large", "cut"} {
		s.RecordHost(reach.HostReport{Host: host, Domain: "d", Cores: []float64{0.125, 0.75, 4}[n]})
		s.Succeeded(at(n), host, "t1")
	}
	if named := s.Relays(at(10), target, "self", "d"); len(named) > 0 {
		t.Errorf("%v were named though no path is lost", named)
	}
	s.RecordHost(reach.HostReport{Host: "cut", Domain: "d", Cores: 4, Paths: reach.Report{InDoubt: map[tables.ServiceID][]tables.TargetID{"s": nil}}})
	named := make(map[tables.HostID]int)
	for range 7 {
		first := s.Relays(at(10), target, "self", "d")[0]
		named[first]++
		s.BeginRelay(first)
	}
	if named["large"] != 6 || named["small"] != 1 {
		t.Errorf("seven requests went to %v", named)
	}
	if s.Relays(at(10), target, "large", "d")[0] != "small" {
		t.Error("a host was named to itself")
	}
}
