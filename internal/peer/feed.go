package peer

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Methods that a dispatcher serves to the gate and the controller of its host.
const (
	// MethodFeed is a long poll for what the dispatcher has read and heard.
	MethodFeed = "host.feed"
	// MethodSuspect names a host that did not answer.
	MethodSuspect = "host.suspect"
)

// FeedRequest asks for everything after Seen. It also tells the dispatcher
// what is in force in the asking process.
type FeedRequest struct {
	Role string `json:"role"`
	// ConfigVersion is the configuration in force in the asking process.
	ConfigVersion uint64 `json:"config_version"`
	// Source and Seen are those of the last answer; zero asks for all.
	Source int64  `json:"source,omitempty"`
	Seen   uint64 `json:"seen,omitempty"`
	// LogNext is the offset of the first configuration record that the asker
	// lacks; negative while it has no place in the log.
	LogNext ports.Offset `json:"log_next"`
	// Wait is how long the answer may be held back while there is no news.
	Wait time.Duration `json:"wait"`
}

// Feed answers FeedRequest. Ages are measured when the answer is composed.
type Feed struct {
	Host tables.HostID `json:"host"`
	// Source is the start of the dispatcher; revisions of another one do not
	// compare.
	Source   int64  `json:"source"`
	Revision uint64 `json:"revision"`
	// Held is how long the answer was held back.
	Held time.Duration `json:"held"`
	// ListAge is the time since the host list was last read; negative while it
	// cannot be read.
	ListAge time.Duration `json:"list_age"`
	// Listing is the listing when it is new to the asker.
	Listing *ports.Listing `json:"listing,omitempty"`
	// Hosts are the rows of the membership table that are new to the asker.
	Hosts []tables.HostView `json:"hosts,omitempty"`
	// Beats are what hosts said of themselves of late, the feeding host
	// included.
	Beats []Heartbeat `json:"beats,omitempty"`
	// LogAge is the time since the configuration stream was last read to its
	// end; negative while it cannot be read.
	LogAge time.Duration `json:"log_age"`
	// Log holds the configuration records from LogNext on; nil when the
	// dispatcher does not keep that place.
	Log *ports.Page `json:"log,omitempty"`
}

// Suspect names a host that did not answer a process of this host.
type Suspect struct {
	Host tables.HostID `json:"host"`
}
