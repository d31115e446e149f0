package tables

// MemberReport is news about one host that peers pass on. Incarnation and
// Sequence order the reports of a host; a host refutes a report that it is down
// by a higher Sequence.
type MemberReport struct {
	Host        HostID `json:"host"`
	Incarnation int64  `json:"inc"`
	Sequence    uint32 `json:"seq,omitempty"`
	// DownBy is the host that got no answer; empty when the report says that
	// the host is up.
	DownBy HostID `json:"down_by,omitempty"`
	// Leaving is the host's own word that it is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Domain, Address and Listed introduce a host to one that has no listing.
	Domain  DomainID  `json:"domain,omitempty"`
	Address string    `json:"address,omitempty"`
	Listed  HostState `json:"listed,omitempty"`
}
