package edge

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// maxClockDifference is by how much the clock of a target may differ from that of this host.
const maxClockDifference = 5 * time.Second

// checkVersion records whether a target that began a stream may have done so with other software
// than that of its entry at that time: a later start with another version, which is recorded as well,
// is listed since, and the call was not sent long before that start. A call that goes on with a
// stream reaches the listed start only.
func (ex *exchange) checkVersion(target fleet.Target, call Call, sentAt time.Time) {
	if call.LastEventID != "" || ex.call.events == 0 {
		return
	}
	listed, known := ex.server.Directory.Target(target.ID)
	if !known || listed.Version == target.Version || !listed.StartedAt.After(target.StartedAt) {
		return
	}
	ex.relay.versionInDoubt = !sentAt.Add(maxClockDifference).Before(listed.StartedAt)
	ex.relay.laterVersion = listed.Version
}
