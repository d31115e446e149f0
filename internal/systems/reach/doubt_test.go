package reach_test

import (
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// fleetOf returns the targets of a service.
func fleetOf(count int) []fleet.Target {
	var out []fleet.Target
	for n := range count {
		t := target(n)
		t.Service = "s"
		out = append(out, t)
	}
	return out
}

// check begins all checks that are due and ends them as connects says. It returns their
// number.
func check(p *reach.Paths, now time.Time, targets []fleet.Target, connects func(fleet.Target) bool) int {
	count := 0
	for {
		t, due := p.NextCheck(now, targets, 0)
		if !due {
			return count
		}
		count++
		if connects(t) {
			p.Connected(now, t)
		} else {
			p.ProbeFailed(now, t)
		}
	}
}

func never(fleet.Target) bool  { return false }
func always(fleet.Target) bool { return true }

func TestTargetThatCrashesPutsNoOtherPathInDoubt(t *testing.T) {
	var p reach.Paths
	all := fleetOf(60)
	p.Failed(at(0), all[0], at(0))
	if n := check(&p, at(50), all, always); n != 3 {
		t.Errorf("%d paths were checked", n)
	}
	for _, other := range all[1:] {
		if p.Lost(other) {
			t.Fatalf("the path to %s is taken for lost", other.ID)
		}
	}
	if report := p.Report(); len(report.Lost) != 1 || len(report.InDoubt) != 0 {
		t.Errorf("reports %+v", report)
	}
}

func TestHostThatHasLostAllPathsLearnsItByAFewChecksWhateverTheNumberOfTargets(t *testing.T) {
	for _, count := range []int{6, 60, 600} {
		var p reach.Paths
		all := fleetOf(count)
		p.Failed(at(0), all[0], at(0))
		checks := check(&p, at(50), all, never)
		if checks != 3 || !p.AllLost("s") || !p.Lost(all[count-1]) {
			t.Errorf("%d targets: %d checks, all lost %v", count, checks, p.AllLost("s"))
		}
		if report := p.Report(); len(report.Lost) != 0 || len(report.InDoubt["s"]) != 0 {
			t.Errorf("%d targets: reports %+v", count, report)
		}
		for ms := 100; ms < 10100; ms += 50 {
			checks += check(&p, at(ms), all, never)
		}
		if checks > 24 {
			t.Errorf("%d targets: %d checks in ten seconds", count, checks)
		}
	}
}

func TestOtherServiceIsNotInDoubt(t *testing.T) {
	var p reach.Paths
	all := fleetOf(6)
	other := target(9)
	other.Service = "other"
	p.Failed(at(0), all[0], at(0))
	check(&p, at(50), append(all, other), never)
	if p.Lost(other) || !p.Lost(all[5]) {
		t.Error("a service of which no path was lost is in doubt, or the one that was is not")
	}
}

func TestPathsThatConnectAreUsedWhileTheOthersAreInDoubt(t *testing.T) {
	var p reach.Paths
	all := fleetOf(20)
	half := func(t fleet.Target) bool { return t.ID >= "t5" }
	p.Failed(at(0), all[0], at(0))
	for ms := 50; ms < 6000; ms += 50 {
		check(&p, at(ms), all, half)
	}
	for _, other := range all {
		if p.Lost(other) == half(other) {
			t.Errorf("the path to %s: lost %v", other.ID, p.Lost(other))
		}
	}
}

func TestSixChecksThatConnectEndADoubt(t *testing.T) {
	var p reach.Paths
	all := fleetOf(60)
	p.Failed(at(0), all[0], at(0))
	check(&p, at(50), all, never)
	n := check(&p, at(2500), all, always)
	if n > 10 || p.Lost(all[59]) {
		t.Errorf("after %d checks that connected: lost %v", n, p.Lost(all[59]))
	}
}

func TestBytesOfAnOpenConnectionEndNoDoubtThatChecksHaveRaised(t *testing.T) {
	var p reach.Paths
	all := fleetOf(60)
	p.Failed(at(0), all[0], at(0))
	check(&p, at(50), all, never)
	p.Received(at(100))
	if !p.Lost(all[59]) {
		t.Error("open connections live on and no new one opens, and the host dials on")
	}
	p.Answered(at(200), all[59])
	if p.Lost(all[59]) || !p.Lost(all[58]) {
		t.Error("a target that has answered is the only sound one")
	}
	reported := reach.NewReported(p.Report())
	if !reported.Reaches(all[59]) || reported.Reaches(all[58]) {
		t.Error("the report says something else")
	}
}

func TestProbesOfManyLostPathsAreFewWhileAllFail(t *testing.T) {
	var p reach.Paths
	all := fleetOf(60)
	for _, lost := range all {
		p.Failed(at(0), lost, at(0))
	}
	listed := func(fleet.Target) bool { return true }
	probes := 0
	for ms := 300; ms < 10300; ms += 50 {
		for {
			t, due := p.NextProbe(at(ms), listed)
			if !due {
				break
			}
			probes++
			p.ProbeFailed(at(ms), t)
		}
	}
	if probes > 45 {
		t.Errorf("%d probes in ten seconds", probes)
	}
	first, _ := p.NextProbe(at(10300), listed)
	p.Connected(at(10300), first)
	regained := 1
	for ms := 10350; ms < 12000; ms += 50 {
		for range 4 {
			if t, due := p.NextProbe(at(ms), listed); due {
				p.Connected(at(ms), t)
				regained++
			}
		}
	}
	if regained != len(all) {
		t.Errorf("%d of %d paths are back within two seconds of the first", regained, len(all))
	}
}

func TestNewSchedulerBelievesNobodyUntilSomebodyReachesATarget(t *testing.T) {
	s := reach.NewSenders()
	failed := failure("cut", "t1", 10)
	s.Failed(at(10), failed)
	if !s.Discounted(at(10), failed) || len(s.Unreached(at(10), "cut")) != 1 {
		t.Error("the first host to fail ejects a target, or gets it again at once")
	}
	s.Succeeded(at(20), "sound", tables.TargetID("t2"))
	if s.Discounted(at(20), failed) {
		t.Error("a target that nobody has reached is not left")
	}
}
