// Package shutdown decides how long a request may wait at a host that has been told to stop,
// so that nothing is sent to a target that the host could not wait for. It uses no clock and
// does no I/O: callers pass in the time.
package shutdown

import "time"

const (
	// waitShare is the part of the time until the latest begin of a request for which it waits if
	// nothing tells when it gets a slot. Its caller needs the rest at another host.
	waitShare = 0.5
	// answerMargin is the time for the answer to reach the caller.
	answerMargin = 100 * time.Millisecond
)

// Outlook is what is expected of a request that has not been sent to a target.
type Outlook struct {
	// Run is the time that a target takes for the request.
	Run time.Duration
	// Wait is the time until the request gets a slot; zero if nothing is expected.
	Wait time.Duration
}

// LatestBegin returns until when the request may be sent if the process ends its requests at
// endsAt.
func (o Outlook) LatestBegin(endsAt time.Time) time.Time { return endsAt.Add(-o.Run - answerMargin) }

// WaitUntil returns until when the request may wait for a slot from now on. A time that is not
// after now means that the caller is better off at another host at once.
func (o Outlook) WaitUntil(now, endsAt time.Time) time.Time {
	left := o.LatestBegin(endsAt).Sub(now)
	if left <= 0 || o.Wait > left {
		return now
	}
	return now.Add(max(o.Wait, time.Duration(waitShare*float64(left))))
}
