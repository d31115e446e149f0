package allocation

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// BenchmarkPassOverALongQueue measures a pass over 1,500 late requests while all of 84
// targets have a free slot and a prompt in progress, so that none is granted.
func BenchmarkPassOverALongQueue(b *testing.B) {
	for name, avoid := range map[string][]tables.TargetID{"avoiding none": nil, "avoiding one": {"t-03"}} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(0, 0)
			sched := NewScheduler(func() float64 { return 0 })
			var targets []fleet.Target
			for i := range 84 {
				targets = append(targets, fleet.Target{ID: tables.TargetID(fmt.Sprintf("t-%02d", i)), Service: "s", Slots: 3000})
			}
			sched.SetTargets(targets)
			for i := range 84 {
				sched.Enqueue(&SlotRequest{ID: ID(10000 + i), Service: "s", PromptTokens: 1, FirstByteDue: now.Add(time.Hour), QueueDeadline: now.Add(time.Hour)})
			}
			sched.Schedule(now)
			for i := range 1500 {
				sched.Enqueue(&SlotRequest{ID: ID(i), Service: "s", PromptTokens: 100 + (i*37)%500, Tier: i % 4, FirstByteDue: now.Add(-time.Second), QueueDeadline: now.Add(time.Hour), Avoid: avoid})
			}
			for b.Loop() {
				sched.Schedule(now)
			}
			b.ReportMetric(float64(sched.Queued()), "queued")
		})
	}
}
