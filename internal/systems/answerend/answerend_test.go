package answerend_test

import (
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
)

func TestEndOfAnAnswerIsJudgedByWhatIsLeftOfItsTarget(t *testing.T) {
	for name, c := range map[string]struct {
		evidence answerend.Evidence
		want     answerend.Verdict
		decisive string
	}{
		"accepts":                             {answerend.Evidence{Probe: answerend.Accepted}, answerend.Whole, "accepted"},
		"accepts, but is a later start":       {answerend.Evidence{Probe: answerend.Accepted, Replaced: true}, answerend.Cut, "replaced"},
		"accepts, but may be a later start":   {answerend.Evidence{Probe: answerend.Accepted, Stale: true}, answerend.Cut, "stale"},
		"sends to others, may be a later one": {answerend.Evidence{Probe: answerend.Reset, Heard: true, Stale: true}, answerend.Cut, "stale"},
		"refuses":                             {answerend.Evidence{Probe: answerend.Refused}, answerend.Cut, "refused"},
		"refuses, though it sends to others":  {answerend.Evidence{Probe: answerend.Refused, Heard: true}, answerend.Cut, "refused"},
		"closes at once":                      {answerend.Evidence{Probe: answerend.Closed}, answerend.Cut, "closed"},
		"resets":                              {answerend.Evidence{Probe: answerend.Reset}, answerend.Cut, "reset"},
		"resets, but sends to others":         {answerend.Evidence{Probe: answerend.Reset, Heard: true}, answerend.Whole, "heard"},
		"cannot be reached":                   {answerend.Evidence{}, answerend.Cut, "unanswered"},
		"cannot be reached, sends to others":  {answerend.Evidence{Heard: true}, answerend.Whole, "heard"},
		"cannot be reached, another start":    {answerend.Evidence{Replaced: true}, answerend.Cut, "replaced"},
	} {
		if got, decisive := answerend.Judge(c.evidence); got != c.want || decisive != c.decisive {
			t.Errorf("%s: %v by %q, want %v by %q", name, got, decisive, c.want, c.decisive)
		}
	}
}
