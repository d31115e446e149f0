// Package feed forwards the data that the dispatcher of a host receives to the
// gate and the controller of the same host: the platform's host list, the
// membership table, heartbeats and the configuration stream of the log. Only
// the dispatcher then polls the platform and exchanges heartbeats. A gate or
// controller whose dispatcher is down, unresponsive or out of date falls back
// to reading the host list and the log and exchanging heartbeats itself.
package feed

import "time"

const (
	// longPollTimeout is how long the dispatcher holds a poll without urgent
	// changes. It exceeds the one-second interval between two reads of the host
	// list, each of which completes the poll.
	longPollTimeout = 1100 * time.Millisecond
	// minPollInterval is the minimum time between the starts of two polls. It
	// batches a burst of changes into few responses.
	minPollInterval = 50 * time.Millisecond
	// maxFeedAge is the age at which a response becomes stale, and the timeout
	// of a call to the dispatcher. It is well below the two seconds within which
	// a leaving target must be closed.
	maxFeedAge = 1300 * time.Millisecond
	// maxListAge is the age at which the dispatcher's listing becomes stale.
	maxListAge = 1300 * time.Millisecond
	// maxLogAge is how long the dispatcher's configuration records stay fresh
	// after it last read the end of the stream. It exceeds the five seconds for
	// which one read waits for a record.
	maxLogAge = 6 * time.Second
	// retryBackoff is the delay after a failed poll.
	retryBackoff = 500 * time.Millisecond
	// unheardAfter is how long a process may go without polling before the
	// heartbeat lists its role in UnreportedRoles.
	unheardAfter = 3 * time.Second
	// viewInterval is the minimum time between two reads of the membership
	// table. A change of a host's state causes a read at once.
	viewInterval = 1 * time.Second
	// maxHeartbeatAge is the age at which a heartbeat is no longer forwarded.
	maxHeartbeatAge = 2 * time.Second
	// maxPendingSuspects limits the suspects queued for the dispatcher.
	maxPendingSuspects = 16
	// maxTailBytes limits the size of the configuration records that a process
	// buffers.
	maxTailBytes = 1 << 20
)
