package pool

import (
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
)

func TestHostReportsLimitsOfTargetsThatNamedOne(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	named := func(start int64, perSecond float64, ms int) allocation.LimitStatement {
		return allocation.LimitStatement{Target: "t", TargetStart: start, Limited: true, PerSecond: perSecond, At: at(ms)}
	}
	none := func(start int64, sentMS int) allocation.LimitStatement {
		return allocation.LimitStatement{Target: "t", TargetStart: start, At: at(sentMS)}
	}
	var l namedLimits
	for i, step := range []struct {
		ms           int
		statement    allocation.LimitStatement
		due, changed bool
	}{
		{0, none(1, 0), false, false},
		{10, named(1, 4, 10), true, true},
		{20, named(1, 4, 20), false, false},
		{30, named(1, 3, 30), true, true},
		{240, named(1, 3, 240), true, false},
		{250, none(1, 200), false, false},
		{260, none(1, 255), true, true},
		{270, named(2, 5, 270), true, true},
		{280, none(3, 275), false, false},
	} {
		due, changed := l.record(at(step.ms), step.statement)
		if due != step.due || changed != step.changed {
			t.Errorf("step %d: due %v, changed %v", i, due, changed)
		}
	}
	if reports := l.reports(at(300)); len(reports) != 1 || !reports[0].Limited || reports[0].PerSecond != 5 || reports[0].AgeMS != 30 {
		t.Errorf("reports %+v", reports)
	}
	if reports := l.reports(at(300).Add(limitMemory)); len(reports) != 0 {
		t.Errorf("reports %+v after a minute", reports)
	}
}
