package faultsoak

import (
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

func TestLateCrashesCountOnlyAfterFiveAndInCalm(t *testing.T) {
	calmFrom := time.Unix(1_700_000_000, 0)
	runsAt := func(before, late int, parts string) []standin.Run {
		var out []standin.Run
		for n := range before + late {
			at := calmFrom.Add(-time.Second)
			if n >= before {
				at = calmFrom.Add(time.Second)
			}
			out = append(out, standin.Run{StartedAt: at, Headers: standin.HeaderWithParts(parts)})
		}
		return out
	}
	for _, c := range []struct {
		before, late int
		parts        string
		violated     bool
	}{
		{5, 3, "aa:1,bad:1,x:1", false},
		{5, 4, "aa:1,bad:1,x:1", true},
		{4, 9, "aa:1,bad:1,x:1", false},
		{5, 9, "aa:1,x:1,bad:1", false},
		{5, 9, "aa:1,cc:1,x:1", false},
	} {
		if got := lateCrashes(runsAt(c.before, c.late, c.parts), calmFrom); (len(got) > 0) != c.violated {
			t.Errorf("%d before and %d late with %s: %v", c.before, c.late, c.parts, got)
		}
	}
}
