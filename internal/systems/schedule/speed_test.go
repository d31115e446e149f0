package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// loaded returns tables with full targets and a queue in front of them.
func loaded(targets, queued int) (*schedule.State, []*tables.Request) {
	s := schedule.NewState()
	s.MaxQueuedPerTarget = queued + 1
	var allowed []tables.TargetID
	for i := range targets {
		id := tables.TargetID(fmt.Sprintf("e%04d", i))
		allowed = append(allowed, id)
		s.Targets.Put(engine(id, 8))
	}
	for i := range targets*8 + queued {
		r := request(fmt.Sprintf("r%06d", i), i%3, 24*time.Hour+time.Duration(i)*time.Second)
		r.Customer = tables.CustomerID(fmt.Sprintf("c%d", i%5))
		r.Allowed = allowed
		s.Requests.Put(r)
	}
	var running []*tables.Request
	for _, d := range schedule.Tick(start, s) {
		running = append(running, s.Requests.Get(d.Request))
	}
	return s, running
}

// decide frees one place and lets the next request start, as after every
// answer.
func decide(s *schedule.State, running []*tables.Request, n int, allowed []tables.TargetID) {
	done := running[n%len(running)]
	s.Requests.Delete(done.ID)
	next := request(fmt.Sprintf("n%07d", n), done.Tier, 24*time.Hour+time.Duration(n)*time.Second)
	next.Allowed = allowed
	next.Customer = tables.CustomerID(fmt.Sprintf("c%d", n%5))
	s.Requests.Put(next)
}

// perDecision returns the mean time of b.N decisions, and how many requests
// they started.
func perDecision(b *testing.B, targets, queued int) (each time.Duration, starts int) {
	b.StopTimer()
	s, running := loaded(targets, queued)
	allowed := running[0].Allowed
	var sum time.Duration
	for i := range b.N {
		decide(s, running, i, allowed)
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		b.StartTimer()
		began := time.Now()
		decisions := schedule.Tick(now, s)
		sum += time.Since(began)
		b.StopTimer()
		for _, d := range decisions {
			if d.Action == tables.Start {
				starts++
				running[i%len(running)] = s.Requests.Get(d.Request)
			}
		}
	}
	return sum / time.Duration(b.N), starts
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, queued int }{{100, 10_000}, {500, 10_000}, {1000, 100}, {1000, 1000}, {1000, 10_000}, {2000, 10_000}} {
		b.Run(fmt.Sprintf("targets=%d/queued=%d", size.targets, size.queued), func(b *testing.B) {
			b.ReportAllocs()
			each, starts := perDecision(b, size.targets, size.queued)
			b.ReportMetric(float64(each.Nanoseconds()), "ns/decision")
			b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkSlopes reports what one more target and one more queued request add
// to a decision.
func BenchmarkSlopes(b *testing.B) {
	few, _ := perDecision(b, 200, 10_000)
	many, _ := perDecision(b, 2000, 10_000)
	short, _ := perDecision(b, 500, 1_000)
	long, _ := perDecision(b, 500, 40_000)
	b.ReportMetric(float64((many-few).Nanoseconds())/1800, "ns/target")
	b.ReportMetric(float64((long-short).Nanoseconds())/39_000, "ns/queued")
}
