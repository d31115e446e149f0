package fleet

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Target is one running copy of a service.
type Target struct {
	ID      tables.TargetID
	Service tables.ServiceID
	// Address is IP:port.
	Address string
	Domain  tables.DomainID
	// Slots is the number of requests that it serves at once.
	Slots int
	// Leaving targets get no new request.
	Leaving bool
	// Born is when the copy started; zero when it does not say so.
	Born time.Time
}

// Host is one host of the system.
type Host struct {
	ID     tables.HostID   `json:"id"`
	Domain tables.DomainID `json:"domain"`
	// Address is where peers reach it, IP:port.
	Address string `json:"address"`
	// Cores is its share of the processor.
	Cores float64 `json:"cores"`
}
