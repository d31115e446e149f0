package shutdown_test

import (
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/shutdown"
)

var now = time.Unix(1_700_000_000, 0)

// endsIn is the time that the process has left.
const endsIn = 7300 * time.Millisecond

// Guards against requests that wait at a host that ends before they can be served, and against
// refusals of those that it can serve.
func TestWaitEndsWhileTheCallerCanStillGoElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		outlook  shutdown.Outlook
		atLeast  time.Duration
		noLonger time.Duration
	}{
		"a run that outlasts the process":            {shutdown.Outlook{Run: 7500 * time.Millisecond}, 0, 0},
		"a run that leaves no time for the answer":   {shutdown.Outlook{Run: endsIn}, 0, 0},
		"a short run, nothing known of the wait":     {shutdown.Outlook{Run: 100 * time.Millisecond}, 3 * time.Second, 4 * time.Second},
		"a short run after a short wait":             {shutdown.Outlook{Run: 100 * time.Millisecond, Wait: time.Second}, 3 * time.Second, 4 * time.Second},
		"a short run after a long wait":              {shutdown.Outlook{Run: 100 * time.Millisecond, Wait: 6 * time.Second}, 6 * time.Second, 6 * time.Second},
		"a wait after which the run does not fit in": {shutdown.Outlook{Run: 2 * time.Second, Wait: 6 * time.Second}, 0, 0},
		"a run of nearly all the time":               {shutdown.Outlook{Run: 7 * time.Second}, 50 * time.Millisecond, 150 * time.Millisecond},
	} {
		endsAt := now.Add(endsIn)
		got := c.outlook.WaitUntil(now, endsAt).Sub(now)
		if got < c.atLeast || got > c.noLonger {
			t.Errorf("%s: waits %v, want %v to %v", name, got, c.atLeast, c.noLonger)
		}
		if got > 0 && now.Add(got).Add(c.outlook.Run).After(endsAt) {
			t.Errorf("%s: sent after %v, the run ends after the process", name, got)
		}
	}
}

func TestRunIsExpectedFromTheLatestRequestsOfTheSize(t *testing.T) {
	const usual = 400 * time.Millisecond
	h := shutdown.NewHistory()
	if got := h.Outlook("r", 0, 0, usual); got.Run != usual || got.Wait != 0 {
		t.Errorf("without requests: %+v", got)
	}
	h.Record("r", 10, 0, 3*time.Second)
	if got := h.Outlook("r", 10, 0, usual).Run; got != 3*time.Second {
		t.Errorf("after one long run: %v", got)
	}
	for range 40 {
		h.Record("r", 10, 0, 100*time.Millisecond)
		h.Record("r", 1000, 0, 5*time.Second)
	}
	if got := h.Outlook("r", 12, 0, usual).Run; got != 100*time.Millisecond {
		t.Errorf("a short request: %v", got)
	}
	if got := h.Outlook("r", 1000, 0, usual).Run; got != 5*time.Second {
		t.Errorf("a long request: %v", got)
	}
	if got := h.Outlook("r", 1<<20, 0, usual).Run; got != 5*time.Second {
		t.Errorf("a request of a size that is not known: %v", got)
	}
	if got := h.Outlook("other", 10, 0, usual).Run; got != usual {
		t.Errorf("a request of another route: %v", got)
	}
}

func TestOneSlowRequestInThirtyIsNotExpected(t *testing.T) {
	h := shutdown.NewHistory()
	for n := range 30 {
		ran := 50 * time.Millisecond
		if n == 7 {
			ran = 6 * time.Second
		}
		h.Record("r", 0, 0, ran)
	}
	if got := h.Outlook("r", 0, 0, time.Second).Run; got != 50*time.Millisecond {
		t.Errorf("expected %v", got)
	}
}

func TestWaitIsExpectedFromTheLatestRequests(t *testing.T) {
	h := shutdown.NewHistory()
	for range 10 {
		h.Record("r", 0, 2*time.Second, 50*time.Millisecond)
	}
	for waited, want := range map[time.Duration]time.Duration{0: 2 * time.Second, 500 * time.Millisecond: 1500 * time.Millisecond, 3 * time.Second: 0} {
		if got := h.Outlook("r", 0, waited, time.Second).Wait; got != want {
			t.Errorf("after %v: %v more, want %v", waited, got, want)
		}
	}
}
