package edge

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

func TestStoppingHostRefusesWhatMayOutlastIt(t *testing.T) {
	const left = 2 * time.Second
	for name, c := range map[string]struct {
		stopping bool
		timeout  time.Duration
		refused  bool
	}{
		"not stopping":           {false, time.Hour, false},
		"ends in time":           {true, left, false},
		"may not end in time":    {true, left + time.Millisecond, true},
		"without a deadline":     {true, 0, true},
		"not stopping, for ever": {false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			route := resumableStream(1)
			route.Timeout = c.timeout
			e := newTestServer(t, zap.NewNop(), route, 1, answers(http.StatusOK, oneEvent))
			e.Shutdown = NewShutdown()
			if c.stopping {
				e.Shutdown.Begin(e.clock.Now().Add(left))
				e.Shutdown.RecordClosed()
			}
			caller := e.serveParts(t, "r")
			if refused := errkind.Of(caller.refused) == errkind.ShuttingDown; refused != c.refused {
				t.Errorf("refused with %v", caller.refused)
			}
		})
	}
}
