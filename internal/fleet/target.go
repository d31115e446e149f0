package fleet

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Target is one running instance of a service.
type Target struct {
	ID      tables.TargetID
	Service tables.ServiceID
	// Address is IP:port.
	Address string
	Domain  tables.DomainID
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Leaving targets receive no new requests.
	Leaving bool
	// StartedAt is when the instance started; zero if it does not report that.
	StartedAt time.Time
	// Sequence is the number that the instance gave its latest record; zero if it
	// gives none. It rises while the instance runs.
	Sequence int64
	// Version is the version of the target's software; empty if it reports none.
	Version tables.SoftwareVersion
	// ColdUntil is the end of the instance's start-up time, in which it is slower than
	// later; zero if it states none.
	ColdUntil time.Time
}

// Host is one host of the system.
type Host struct {
	ID     tables.HostID   `json:"id"`
	Domain tables.DomainID `json:"domain"`
	// Address is where peers reach the host, as IP:port.
	Address string `json:"address"`
	// Cores is the number of processor cores that the system may use on the host.
	Cores float64 `json:"cores"`
	// StatesFleet is true if the host says which fleet it belongs to whenever it speaks to
	// another one. The build before does not.
	StatesFleet bool `json:"states_fleet,omitempty"`
}

// IsOlder reports whether the target wrote its entry before one of the given start and
// sequence number. It returns false if either entry does not tell.
func (t Target) IsOlder(startedAt time.Time, sequence int64) bool {
	if t.StartedAt.IsZero() || startedAt.IsZero() {
		return false
	}
	if !t.StartedAt.Equal(startedAt) {
		return t.StartedAt.Before(startedAt)
	}
	return t.Sequence > 0 && t.Sequence < sequence
}
