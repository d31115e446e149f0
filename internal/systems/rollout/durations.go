package rollout

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxDurations is the number of requests at old targets whose durations are kept.
	maxDurations = 512
	// drainPercentile is the percentile of these that the shift allows for.
	drainPercentile = 0.95
	minDrainTime    = time.Second
	// maxDrainShare bounds the time that the shift allows for, as a fraction of the duration
	// of the order.
	maxDrainShare = 1.0 / 3
)

// durations holds how long the latest requests at old targets took.
type durations struct {
	list []time.Duration
	next int
}

func (d *durations) add(took time.Duration) {
	if len(d.list) < maxDurations {
		d.list = append(d.list, took)
		return
	}
	d.list[d.next] = took
	d.next = (d.next + 1) % maxDurations
}

// percentile returns a percentile; zero if there are no durations.
func (d *durations) percentile(p float64) time.Duration {
	if len(d.list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.list))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// RecordDuration records how long a request took from its grant to its end.
func (c *Controller) RecordDuration(version tables.SoftwareVersion, took time.Duration) {
	if !c.phase.Ended() && version != c.order.To {
		c.durations.add(took)
	}
}

// drainTime returns how long the requests at old targets will take to end.
func (c *Controller) drainTime() time.Duration {
	longest := time.Duration(maxDrainShare * float64(c.order.Duration))
	return min(max(c.durations.percentile(drainPercentile), minDrainTime), longest)
}
