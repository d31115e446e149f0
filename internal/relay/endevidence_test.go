package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Guards against the answer of a dead target whose address another target has taken at once.
func TestAnswerIsInDoubtIfAnotherTargetHasTheAddress(t *testing.T) {
	t.Parallel()
	other := fleet.Target{ID: "u", Address: answering.Address, StartedAt: answering.StartedAt.Add(time.Second)}
	before := other
	before.StartedAt = answering.StartedAt.Add(-time.Second)
	for name, c := range map[string]struct {
		listed  []fleet.Target
		inDoubt bool
	}{
		"itself":                     {[]fleet.Target{answering}, false},
		"itself and one of before":   {[]fleet.Target{answering, before}, false},
		"itself and a later one":     {[]fleet.Target{answering, other}, true},
		"a later one":                {[]fleet.Target{other}, true},
		"none, while it still lives": {nil, false},
	} {
		r, _ := newUnframedRouter(answering, answerend.Accepted)
		r.Listed = func() []fleet.Target { return c.listed }
		r.Target = func(id tables.TargetID) (fleet.Target, bool) {
			for _, l := range c.listed {
				if l.ID == id {
					return l, true
				}
			}
			return fleet.Target{}, false
		}
		if _, err := readAnswer(t, r); errors.Is(err, edge.ErrEndInDoubt) != c.inDoubt || !c.inDoubt && err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
