package edge

import (
	"net/http"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/shutdown"
)

// usualRunShare is the part of the time until its deadline that a request is expected to run if
// too little is known of its route.
const usualRunShare = 0.5

// runHistory holds how long the requests of this host have waited and run. It is safe for
// concurrent use. The zero value holds nothing.
type runHistory struct {
	mu    sync.Mutex
	known *shutdown.History
}

func (h *runHistory) record(ex *exchange, waited, ran time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		h.known = shutdown.NewHistory()
	}
	h.known.Record(ex.route.Name, ex.request.MaxOutputTokens, waited, ran)
}

// outlook returns what is expected of a request that has waited for a slot for a time.
func (h *runHistory) outlook(ex *exchange, waited time.Duration) shutdown.Outlook {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		return shutdown.Outlook{Run: ex.usualRun()}
	}
	return h.known.Outlook(ex.route.Name, ex.request.MaxOutputTokens, waited, ex.usualRun())
}

// recordRun records a request that was answered as a whole by the target of a slot.
func (ex *exchange) recordRun(slot *heldSlot, startedAt time.Time) {
	if ex.call.status < http.StatusMultipleChoices {
		ex.server.history.record(ex, slot.waited, ex.server.Clock.Now().Sub(startedAt))
	}
}

// usualRun returns how long the request is expected to run if too little is known of its route.
func (ex *exchange) usualRun() time.Duration {
	if ex.deadline.IsZero() {
		return ex.firstByteSLO()
	}
	total := ex.deadline.Sub(ex.request.Arrived)
	return max(ex.firstByteSLO(), time.Duration(usualRunShare*float64(total)))
}
