package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
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

// Guards against a host of the build before, which takes each end for that of the answer.
func TestEndThatAnotherHostHasNotJudgedIsJudgedHere(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		framed  bool
		probe   answerend.Probe
		inDoubt bool
		probes  int64
	}{
		"without a length, the target lives": {false, answerend.Accepted, false, 2},
		"without a length, it has ended":     {false, answerend.Refused, true, 1},
		"with a length or chunks":            {true, answerend.Refused, false, 0},
	} {
		host := serveHost(t, "other", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerResult, resultAnswered)
			w.Header().Set("Trailer", trailerEnd)
			if c.framed {
				w.Header().Set(headerFramed, "1")
			}
			_, _ = io.WriteString(w, "body")
			w.Header().Set(trailerEnd, endWhole)
		}))
		targets := &unframedTargets{results: []answerend.Probe{c.probe}}
		asking := newTestRouter("self", &pathless{targets}, host)
		body, err := readAnswer(t, asking)
		if body != "body" || errors.Is(err, edge.ErrEndInDoubt) != c.inDoubt || !c.inDoubt && err != nil {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		if n := targets.probes.Load(); n != c.probes {
			t.Errorf("%s: %d probes, %d wanted", name, n, c.probes)
		}
	}
}

// pathless targets take connections of other hosts only, except probes.
type pathless struct{ *unframedTargets }

func (p *pathless) Send(ctx context.Context, t fleet.Target, c edge.Call) (*edge.Response, error) {
	return p.fakeTargets.Send(ctx, t, c)
}
