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

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, queued int }{{100, 10_000}, {500, 10_000}, {1000, 100}, {1000, 1000}, {1000, 10_000}, {2000, 10_000}} {
		b.Run(fmt.Sprintf("targets=%d/queued=%d", size.targets, size.queued), func(b *testing.B) {
			s, running := loaded(size.targets, size.queued)
			allowed := running[0].Allowed
			started := 0
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				decide(s, running, n, allowed)
				now := start.Add(time.Duration(n+1) * time.Millisecond)
				b.StartTimer()
				for _, d := range schedule.Tick(now, s) {
					if d.Action == tables.Start {
						started++
						running[n%len(running)] = s.Requests.Get(d.Request)
					}
				}
			}
			b.ReportMetric(float64(started)/float64(b.N), "starts/op")
		})
	}
}
