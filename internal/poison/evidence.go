package poison

import (
	"time"

	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
)

const (
	// shareLifetime is how long a loss is shared with hosts that may not know it.
	shareLifetime = time.Minute
	// maxShared bounds the number of losses that are shared.
	maxShared = 64
)

// Evidence holds losses for hosts that share no connection with the one that knows them.
// It is kept in the store.
type Evidence struct {
	Losses []StoredLoss `json:"losses"`
}

// StoredLoss is a loss and the Unix millisecond at which it happened.
type StoredLoss struct {
	system.Loss
	AtMS int64 `json:"at"`
}

type seenLoss struct {
	loss system.Loss
	at   time.Time
}

// recordLoss records a loss that happened at a time. The lock must be held.
func (g *Guard) recordLoss(at time.Time, l system.Loss) {
	if !g.detector.RecordLoss(at, l) {
		return
	}
	g.seen = append(g.seen, seenLoss{l, at})
	g.seen = g.seen[max(len(g.seen)-maxShared, 0):]
}

// recentLosses returns the losses of the last minute.
func (g *Guard) recentLosses() []agedLoss {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []agedLoss
	for _, s := range g.seen {
		if age := now.Sub(s.at); age < shareLifetime {
			out = append(out, agedLoss{s.loss, age.Milliseconds()})
		}
	}
	return out
}

// Evidence returns the losses of the last minute that this host knows.
func (g *Guard) Evidence() Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out Evidence
	for _, s := range g.seen {
		if now.Sub(s.at) < shareLifetime {
			out.Losses = append(out.Losses, StoredLoss{s.loss, s.at.UnixMilli()})
		}
	}
	return out
}

// Repeated returns the losses that must outlive all hosts, as far as this host counts them.
func (g *Guard) Repeated() Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out Evidence
	for _, l := range g.detector.Repeated(g.clock.Now()) {
		out.Losses = append(out.Losses, StoredLoss{l.Loss, l.At.UnixMilli()})
	}
	return out
}

// ImportEvidence adds the losses that another host has left in the store. Those that seem
// far from now, by the clock of this host, are left out.
func (g *Guard) ImportEvidence(e Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, l := range e.Losses {
		if at := time.UnixMilli(l.AtMS); now.Sub(at).Abs() < shareLifetime {
			g.recordLoss(at, l.Loss)
		}
	}
	g.decideSoon()
}
