package tables

import "time"

// HostView is what one process of a host knows of another host, for the other
// processes of its own host.
type HostView struct {
	MemberReport
	// Down is set while the host is held down.
	Down          bool   `json:"down,omitempty"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// HeardAgo is the time since the host last answered; negative when it
	// never did.
	HeardAgo time.Duration `json:"heard_ago"`
}
