package tables

// MemberReport is an update about one host. Peers spread it by gossip. Incarnation
// and Sequence order the reports about a host. A host refutes a report that it is
// down by sending one with a higher Sequence.
type MemberReport struct {
	Host        HostID `json:"host"`
	Incarnation int64  `json:"inc"`
	Sequence    uint32 `json:"seq,omitempty"`
	// DownBy is the host that got no response; empty if the report states that
	// the host is up.
	DownBy HostID `json:"down_by,omitempty"`
	// Leaving is set if the host reported that it is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Reach is that of Host.
	Reach Reach `json:"reach,omitzero"`
	// Domain, Address and Listed describe the host to recipients that have no
	// listing yet. Listed also tells a host that is missing from its own listing
	// that its peers have it in theirs.
	Domain  DomainID  `json:"domain,omitempty"`
	Address string    `json:"address,omitempty"`
	Listed  HostState `json:"listed,omitempty"`
}
