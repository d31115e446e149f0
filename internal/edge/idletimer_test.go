package edge

import (
	"testing"
	"time"
)

func TestEventIdleTimeout(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                              string
		gapSLO, longestGap, callerTimeout time.Duration
		want                              time.Duration
	}{
		{"a fast stream", 250 * ms, 40 * ms, 2 * time.Second, time.Second},
		{"a stream without an SLO", 0, 0, 0, time.Second},
		{"a slow stream that keeps its pace", 250 * ms, 900 * ms, 0, 2700 * ms},
		{"a slow stream whose caller leaves", 250 * ms, 900 * ms, 4 * time.Second, 2400 * ms},
		{"an SLO of seconds", 2 * time.Second, 0, 20 * time.Second, 6 * time.Second},
	} {
		if got := eventIdleTimeout(c.gapSLO, c.longestGap, c.callerTimeout); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
