package harness

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// PromiseVersion is checked all the time for every running process.
const PromiseVersion = "a version never falls"

// versionPeriod is the time between two looks at the versions in force.
const versionPeriod = 20 * time.Millisecond

// versionWatch notes processes whose configuration version falls.
type versionWatch struct {
	highest map[process]uint64

	mu    sync.Mutex
	falls []Violation
}

// watchVersions looks at all processes until Close.
func (h *Harness) watchVersions() {
	ticker := time.NewTicker(versionPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.closed:
			return
		case <-ticker.C:
		}
		for _, host := range h.Hosts() {
			h.versions.look(host.ID, host.running())
		}
	}
}

// look takes the versions of the processes of a host.
func (w *versionWatch) look(host tables.HostID, processes map[string]process) {
	for part, p := range processes {
		version := p.Version()
		before := w.highest[p]
		if version < before {
			w.add(fmt.Sprintf("%s of %s went from version %d to %d", part, host, before, version))
		}
		w.highest[p] = max(version, before)
	}
}

func (w *versionWatch) add(detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.falls = append(w.falls, Violation{Promise: PromiseVersion, Detail: detail})
}

// violations returns the falls so far.
func (w *versionWatch) violations() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Violation(nil), w.falls...)
}
