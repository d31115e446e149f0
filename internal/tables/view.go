package tables

import "time"

// HostView is the state of a host as seen by one process, which shares it with the
// other processes on the host where it runs.
type HostView struct {
	MemberReport
	// Down is set while the host is considered down.
	Down          bool   `json:"down,omitempty"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// SinceLastContact is the time since the last heartbeat or response from the
	// host; negative if there was none.
	SinceLastContact time.Duration `json:"heard_ago"`
}
