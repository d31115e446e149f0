package tables

import "time"

// HostState is what the platform's list says of a host.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the membership table.
type Host struct {
	ID     HostID   `json:"id"`
	Domain DomainID `json:"failure_domain"`
	// PeerAddress is host:port of the dispatcher's peer listener.
	PeerAddress string `json:"peer_address"`
	// Listed is the state in the platform's list; empty when not listed.
	Listed HostState `json:"listed,omitempty"`
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Leaving is the peer's own word that it is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// LastHeard is the time of the last answer to a heartbeat.
	LastHeard time.Time `json:"last_heard,omitzero"`
	// ConfigVersion is the configuration version in force on the peer.
	ConfigVersion uint64 `json:"config_version,omitempty"`
}
