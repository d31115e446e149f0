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
		"accepts":                            {listed(answerend.Accepted), answerend.Whole, "accepted"},
		"accepts, entry gone":                {answerend.Evidence{Probe: answerend.Accepted}, answerend.Whole, "accepted"},
		"accepts, but is a later start":      {answerend.Evidence{Probe: answerend.Accepted, Listed: true, Replaced: true}, answerend.Cut, "replaced"},
		"refuses":                            {listed(answerend.Refused), answerend.Cut, "refused"},
		"closes at once":                     {listed(answerend.Closed), answerend.Cut, "closed"},
		"resets":                             {listed(answerend.Reset), answerend.Cut, "reset"},
		"resets, but sends to others":        {answerend.Evidence{Probe: answerend.Reset, Heard: true, Listed: true}, answerend.Whole, "heard"},
		"refuses, though it sends to others": {answerend.Evidence{Probe: answerend.Refused, Heard: true, Listed: true}, answerend.Cut, "refused"},
		"cannot be reached":                  {listed(answerend.Unanswered), answerend.Unclear, "unanswered"},
		"cannot be reached, entry gone":      {answerend.Evidence{}, answerend.Cut, "unlisted"},
		"cannot be reached, another start":   {answerend.Evidence{Listed: true, Replaced: true}, answerend.Cut, "replaced"},
	} {
		if got, decisive := answerend.Judge(c.evidence); got != c.want || decisive != c.decisive {
			t.Errorf("%s: %v by %q, want %v by %q", name, got, decisive, c.want, c.decisive)
		}
	}
}
