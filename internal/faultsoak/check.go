package faultsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// maxRunsPerRequest is the largest number of runs that a request on a retryable
// route may have, counted over all targets.
const maxRunsPerRequest = 3

// minSuccessRate is the lowest acceptable success rate after recovery from all
// faults.
const minSuccessRate = 0.98

// checkCalls compares the responses that callers received with the runs that
// targets recorded. It returns a line for each call that violated a guarantee.
func checkCalls(calls []*call, allRuns []standin.Run) []string {
	runs := make(map[string][]string)
	for _, r := range allRuns {
		runs[r.ID] = append(runs[r.ID], describeRun(r))
	}
	var violations []string
	for _, c := range calls {
		if kind := c.violation(len(runs[c.response.ID])); kind != "" {
			violations = append(violations, fmt.Sprintf("%s: %s %s at %s, incarnation %d, sent %s by %s: status %d, complete %t, runs %q, events %v, body %q", kind,
				c.response.ID, c.path, c.host.Name, c.incarnation, c.sentAt.Format(time.StampMilli), c.protocol(), c.response.Status, c.response.Complete, runs[c.response.ID], c.response.EventIDs(), truncate(c.response.Body)))
		}
	}
	return violations
}

// describeRun returns the target of a run, the events that it has sent and whether its
// answer was framed.
func describeRun(r standin.Run) string {
	text := fmt.Sprintf("%s after %q to %d", r.Target, r.LastEventID, r.LastSent)
	if r.Unframed {
		text += " unframed"
	}
	return text
}

func (c *call) protocol() string {
	if c.http10 {
		return "HTTP/1.0"
	}
	return "HTTP/1.1"
}

// violation describes the guarantee that the call violated, given the number of its
// runs at targets. It returns an empty string if there is no violation.
func (c *call) violation(runs int) string {
	retryable := c.path == standin.StreamPath || c.path == standin.LookupPath || c.path == standin.AddedPath
	switch {
	case c.mustNotRun() && (runs > 0 || len(c.response.EventIDs()) > 0):
		return "went on with a stream that may not be resumed"
	case !retryable && runs > 1:
		return "ran more than once"
	case runs > maxRunsPerRequest:
		return "ran at too many targets"
	case claimsNotRun(c.response.Status) && runs > 0:
		return "reported as not run although it ran"
	case c.response.Status == http.StatusUnauthorized || c.response.Status == http.StatusNotFound && c.path != standin.AddedPath:
		return "refused although permitted"
	case c.response.Status == http.StatusOK && c.response.Complete && c.response.Body != c.expectedBody():
		return "unexpected response body"
	case c.response.Status == http.StatusOK && !strings.HasPrefix(c.expectedBody(), c.response.Body):
		return "incomplete response that is not the beginning of the body"
	case c.response.Status == http.StatusOK && c.response.Complete && runs == 0:
		return "complete response without a run"
	default:
		return ""
	}
}

// claimsNotRun reports whether a response status tells the caller that the request
// was not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// expectedBody returns the body of a complete, successful response to the call.
func (c *call) expectedBody() string {
	if c.isStream() {
		return strings.TrimPrefix(standin.StreamBody(streamEvents), standin.StreamBody(c.received))
	}
	return "answer to " + c.response.ID
}

func (c *call) isStream() bool {
	return c.path == standin.StreamPath || c.path == standin.NonResumablePath
}

// mustNotRun reports whether the call takes up a stream that may not be resumed.
func (c *call) mustNotRun() bool {
	return c.path == standin.NonResumablePath && c.received > 0
}

// checkStreams returns a line for each stream whose events have a gap or a repeat over all
// attempts of its caller.
func checkStreams(streams []*standin.Stream) []string {
	var out []string
	for _, s := range streams {
		if strings.HasPrefix(standin.StreamBody(streamEvents), s.Body()) {
			continue
		}
		var ids [][]int
		for _, a := range s.Attempts {
			ids = append(ids, a.EventIDs())
		}
		out = append(out, fmt.Sprintf("events out of order over the attempts of a stream: %s %v", s.FirstID(), ids))
	}
	return out
}

// configRegressions looks for hosts that went back to a configuration without the
// route for standin.AddedPath, which is added during the run. It returns a line for
// each call on that route that got status 404 and was sent more than maxDeliveryDelay
// after a target had run another one that the same incarnation of the host served. A call
// may wait at a paused host for longer than a later one.
func configRegressions(calls []*call, allRuns []standin.Run) []string {
	runAt := make(map[string]time.Time)
	for _, r := range allRuns {
		runAt[r.ID] = r.StartedAt
	}
	type hostIncarnation struct {
		host   *host
		number int
	}
	served := make(map[hostIncarnation]time.Time)
	for _, c := range calls {
		key := hostIncarnation{c.host, c.incarnation}
		ranAt, ran := runAt[c.response.ID]
		if firstServed, ok := served[key]; c.path == standin.AddedPath && c.response.Status == http.StatusOK && ran && (!ok || ranAt.Before(firstServed)) {
			served[key] = ranAt
		}
	}
	var out []string
	for _, c := range calls {
		firstServed, ok := served[hostIncarnation{c.host, c.incarnation}]
		if ok && c.path == standin.AddedPath && c.response.Status == http.StatusNotFound && c.sentAt.After(firstServed.Add(maxDeliveryDelay)) {
			out = append(out, fmt.Sprintf("%s, incarnation %d: added route not found at %s, served at %s", c.host.Name, c.incarnation, c.sentAt.Format(time.StampMilli), firstServed.Format(time.StampMilli)))
		}
	}
	return out
}

// maxDeliveryDelay allows for the time that a call takes to reach its host over a
// slow connection.
const maxDeliveryDelay = time.Second

// successRate returns the fraction of calls sent since a given time that received a
// complete response with status 200, and the number of calls counted. It excludes
// calls that may have been abandoned by their callers, calls that must not run and calls
// on the added route sent before routeExpectedFrom. With no calls the rate is 0.
func successRate(calls []*call, since, routeExpectedFrom time.Time) (rate float64, n int) {
	successes := 0
	for _, c := range calls {
		if c.abandoned || c.mustNotRun() || c.sentAt.Before(since) || c.sentAt.Before(routeExpectedFrom) && c.path == standin.AddedPath {
			continue
		}
		n++
		if c.response.Status == http.StatusOK && c.response.Complete {
			successes++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(successes) / float64(n), n
}

func truncate(body string) string {
	const maxBytes = 120
	if len(body) > maxBytes {
		return body[:maxBytes]
	}
	return body
}
