package tables

import "time"

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of a host in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a row of the membership table.
type Host struct {
	ID     HostID   `json:"id"`
	Domain DomainID `json:"failure_domain"`
	// PeerAddress is the host:port of the dispatcher's peer listener.
	PeerAddress string `json:"peer_address"`
	// Listed is the state in the platform's host list; empty if the host is not
	// in it.
	Listed HostState `json:"listed,omitempty"`
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Leaving is set if the host reported that it is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Reach is what the host said last of reaching targets.
	Reach Reach `json:"reach,omitzero"`
	// LastContact is the time of the last heartbeat or response to a heartbeat from
	// the host; zero if there was none.
	LastContact time.Time `json:"last_heard,omitzero"`
	// ConfigVersion is the configuration version in force on the host.
	ConfigVersion uint64 `json:"config_version,omitempty"`
}

// Reach tells whether a host reaches targets.
type Reach struct {
	// None is true while the host reaches no targets. It gives up those that it owns.
	None bool `json:"none,omitempty"`
	// ChangedAt is when that changed, in Unix nanoseconds by the clock of the host. The
	// latest change applies.
	ChangedAt int64 `json:"changed,omitempty"`
}
