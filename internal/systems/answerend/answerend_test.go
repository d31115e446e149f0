package answerend_test

import (
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
)

func TestEndOfAnAnswerIsJudgedByWhatIsLeftOfItsTarget(t *testing.T) {
	listed := func(p answerend.Probe) answerend.Evidence { return answerend.Evidence{Probe: p, Listed: true} }
	for name, c := range map[string]struct {
		evidence answerend.Evidence
		want     answerend.Verdict
		decisive string
	}{
		"accepts":                           {listed(answerend.Accepted), answerend.Whole, "accepted"},
		"accepts, entry gone":               {answerend.Evidence{Probe: answerend.Accepted}, answerend.Whole, "accepted"},
		"accepts, but is a later start":     {answerend.Evidence{Probe: answerend.Accepted, Listed: true, Replaced: true}, answerend.Cut, "replaced"},
		"accepts, but may be a later start": {answerend.Evidence{Probe: answerend.Accepted, Listed: true, Stale: true}, answerend.Cut, "stale"},
		"refuses":                           {listed(answerend.Refused), answerend.Cut, "refused"},
		"closes at once":                    {listed(answerend.Closed), answerend.Cut, "closed"},
		"resets, with too many":             {listed(answerend.Reset), answerend.Unclear, "reset"},
		"resets, entry gone":                {answerend.Evidence{Probe: answerend.Reset}, answerend.Cut, "unlisted"},
		"cannot be reached":                 {listed(answerend.Unanswered), answerend.Cut, "unanswered"},
		"cannot be reached, entry gone":     {answerend.Evidence{}, answerend.Cut, "unanswered"},
		"cannot be reached, another start":  {answerend.Evidence{Listed: true, Replaced: true}, answerend.Cut, "replaced"},
	} {
		if got, decisive := answerend.Judge(c.evidence); got != c.want || decisive != c.decisive {
			t.Errorf("%s: %v by %q, want %v by %q", name, got, decisive, c.want, c.decisive)
		}
	}
}
