package node

import (
	"github.com/bluebellseam/bluebellseam/internal/quarantine"
)

// newQuarantine returns the process's table of quarantined request fingerprints.
// Its entries come from the log and from peers.
func (p *process) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{
		Host: p.settings.Host, Log: p.Log, Clock: p.Clock, Logger: p.Logger,
		Caller: p.pool, Peers: p.peerAddresses,
	})
}

// peerAddresses returns the addresses of the dispatchers of the live hosts. A
// dispatcher excludes its own.
func (p *process) peerAddresses() []string {
	var out []string
	for _, h := range p.members.Live() {
		if h.PeerAddress != "" && (h.ID != p.settings.Host || p.role != roleDispatcher) {
			out = append(out, h.PeerAddress)
		}
	}
	return out
}
