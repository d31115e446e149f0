package peer

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods that a dispatcher serves for the gate and the controller of its host.
const (
	// MethodFeed is a long poll for changes of the host list, the membership table,
	// heartbeats and the configuration log.
	MethodFeed = "host.feed"
	// MethodSuspect reports a host that did not respond.
	MethodSuspect = "host.suspect"
)

// FeedRequest requests all changes after Seen.
type FeedRequest struct {
	Role string `json:"role"`
	// ConfigVersion reports the configuration version in force in the requesting
	// process.
	ConfigVersion uint64 `json:"config_version"`
	// Source and Seen are the Source and Revision of the last Feed; zero requests
	// everything.
	Source int64  `json:"source,omitempty"`
	Seen   uint64 `json:"seen,omitempty"`
	// LogNext is the offset of the first configuration record to return; negative
	// while the requesting process has no position in the log.
	LogNext ports.Offset `json:"log_next"`
	// Wait limits how long the dispatcher waits for changes before it responds.
	Wait time.Duration `json:"wait"`
}

// Feed is the response to FeedRequest. Ages are as of its creation.
type Feed struct {
	Host tables.HostID `json:"host"`
	// Source identifies the dispatcher process by its start time; revisions of
	// different sources are not comparable.
	Source   int64  `json:"source"`
	Revision uint64 `json:"revision"`
	// Waited is how long the dispatcher waited before it responded.
	Waited time.Duration `json:"held"`
	// ListAge is the time since the host list was last read; negative while it
	// cannot be read.
	ListAge time.Duration `json:"list_age"`
	// Listing is the current listing if it has changed since FeedRequest.Seen.
	Listing *ports.Listing `json:"listing,omitempty"`
	// Hosts are the rows of the membership table that have changed since
	// FeedRequest.Seen.
	Hosts []tables.HostView `json:"hosts,omitempty"`
	// Heartbeats are the recent heartbeats that have changed since FeedRequest.Seen,
	// including that of the dispatcher's own host.
	Heartbeats []Heartbeat `json:"beats,omitempty"`
	// LogAge is the time since the configuration stream was last read to its end;
	// negative while it cannot be read.
	LogAge time.Duration `json:"log_age"`
	// Log contains the configuration records from FeedRequest.LogNext on; nil if the
	// dispatcher does not retain that offset.
	Log *ports.Page `json:"log,omitempty"`
}

// Suspect reports a host that did not respond to a process of this host.
type Suspect struct {
	Host tables.HostID `json:"host"`
}
