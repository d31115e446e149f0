package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// newLoadedState returns a state with full targets and a queue of requests.
func newLoadedState(targets, queued int) (*schedule.State, []*tables.Request) {
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

// replaceRunning completes one running request and queues another, so that the
// next Tick starts one.
func replaceRunning(s *schedule.State, running []*tables.Request, n int, allowed []tables.TargetID) {
	done := running[n%len(running)]
	s.Requests.Delete(done.ID)
	next := request(fmt.Sprintf("n%07d", n), done.Tier, 24*time.Hour+time.Duration(n)*time.Second)
	next.Allowed = allowed
	next.Customer = tables.CustomerID(fmt.Sprintf("c%d", n%5))
	s.Requests.Put(next)
}

// benchmarkTick returns the mean duration of b.N calls of Tick and the number
// of requests that they started.
func benchmarkTick(b *testing.B, targets, queued int) (perTick time.Duration, starts int) {
	b.StopTimer()
	s, running := newLoadedState(targets, queued)
	allowed := running[0].Allowed
	var total time.Duration
	for i := range b.N {
		replaceRunning(s, running, i, allowed)
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		b.StartTimer()
		tickStart := time.Now()
		decisions := schedule.Tick(now, s)
		total += time.Since(tickStart)
		b.StopTimer()
		for _, d := range decisions {
			if d.Action == tables.Start {
				starts++
				running[i%len(running)] = s.Requests.Get(d.Request)
			}
		}
	}
	return total / time.Duration(b.N), starts
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, queued int }{{100, 10_000}, {500, 10_000}, {1000, 100}, {1000, 1000}, {1000, 10_000}, {2000, 10_000}} {
		b.Run(fmt.Sprintf("targets=%d/queued=%d", size.targets, size.queued), func(b *testing.B) {
			b.ReportAllocs()
			perTick, starts := benchmarkTick(b, size.targets, size.queued)
			b.ReportMetric(float64(perTick.Nanoseconds()), "ns/decision")
			b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkSlopes reports by how much one more target and one more queued
// request lengthen a Tick.
func BenchmarkSlopes(b *testing.B) {
	fewTargets, _ := benchmarkTick(b, 200, 10_000)
	manyTargets, _ := benchmarkTick(b, 2000, 10_000)
	shortQueue, _ := benchmarkTick(b, 500, 1_000)
	longQueue, _ := benchmarkTick(b, 500, 40_000)
	b.ReportMetric(float64((manyTargets-fewTargets).Nanoseconds())/1800, "ns/target")
	b.ReportMetric(float64((longQueue-shortQueue).Nanoseconds())/39_000, "ns/queued")
}
