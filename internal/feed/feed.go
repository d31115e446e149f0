// Package feed hands what the dispatcher of a host reads and hears to the gate
// and the controller of the same host: the platform's host list, the
// membership table, heartbeats and the configuration stream of the log. Only
// one process of a host then reads and exchanges them. A process whose
// dispatcher is silent, dead or behind reads for itself.
package feed

import "time"

const (
	// pollWait is how long the dispatcher holds an answer without news. It is
	// longer than the second between two reads of the host list, each of
	// which brings an answer.
	pollWait = 1100 * time.Millisecond
	// pollGap is the shortest time between two polls, so that a burst of news
	// comes in few answers.
	pollGap = 50 * time.Millisecond
	// feedBound is the age up to which an answer counts, and the longest wait
	// for one. It is well below the two seconds in which a leaving target has
	// to be closed.
	feedBound = 1300 * time.Millisecond
	// listBound is the greatest age of a listing.
	listBound = 1300 * time.Millisecond
	// logBound is the greatest time since the dispatcher last read the end of
	// the configuration stream; a read waits five seconds for a record.
	logBound = 6 * time.Second
	// retryPause is the wait after a poll that failed.
	retryPause = 500 * time.Millisecond
	// processBound is how long a process counts as heard after its poll.
	processBound = 3 * time.Second
	// viewEvery is the longest time between two looks at the membership table;
	// a change of a host's state is looked at at once.
	viewEvery = 1 * time.Second
	// beatBound is the greatest age of a heartbeat that is passed on.
	beatBound = 2 * time.Second
	// suspectsAtOnce bounds the suspects that wait to be passed on.
	suspectsAtOnce = 16
	// tailBytes bounds the configuration records that a process keeps.
	tailBytes = 1 << 20
)
