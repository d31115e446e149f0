package harness

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// GuaranteeVersion is the guarantee that the configuration version of a process
// never decreases. It is checked periodically for every running process until the
// harness is closed.
const GuaranteeVersion = "a version never falls"

// versionCheckInterval is the time between two checks of the versions.
const versionCheckInterval = 20 * time.Millisecond

// versionMonitor checks the configuration versions of processes. Each check of a
// process at a lower version than before records a violation.
type versionMonitor struct {
	highest map[process]uint64

	mu        sync.Mutex
	decreases []Violation
}

// monitorVersions checks all running processes periodically until Close.
func (h *Harness) monitorVersions() {
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.closed:
			return
		case <-ticker.C:
		}
		for _, host := range h.Hosts() {
			h.versionMonitor.check(host.ID, host.runningProcesses())
		}
	}
}

// check compares the versions of a host's processes with the highest versions seen
// before and records a violation for each version that is lower.
func (m *versionMonitor) check(host tables.HostID, processes map[string]process) {
	for name, p := range processes {
		version := p.Version()
		highest := m.highest[p]
		if version < highest {
			m.add(fmt.Sprintf("%s of %s went from version %d to %d", name, host, highest, version))
		}
		m.highest[p] = max(version, highest)
	}
}

func (m *versionMonitor) add(detail string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decreases = append(m.decreases, Violation{Guarantee: GuaranteeVersion, Detail: detail})
}

// violations returns the violations recorded so far.
func (m *versionMonitor) violations() []Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Violation(nil), m.decreases...)
}
