package faultsoak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// maxTargets is that of the routes that may be repeated.
const maxTargets = 3

// recovered is the least share of calls that succeed once all faults have
// ended.
const recovered = 0.98

// check returns what broke a promise, from what callers got and targets ran.
func check(calls []*call, targets []*target) []string {
	runs := make(map[string]int)
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.ID]++
		}
	}
	var broken []string
	for _, c := range calls {
		if what := c.broken(runs[c.answer.ID]); what != "" {
			broken = append(broken, fmt.Sprintf("%s: %s %s at %s, start %d, sent %s: status %d, whole %t, %d runs, body %q", what,
				c.answer.ID, c.path, c.host.name, c.start, c.sent.Format(time.StampMilli), c.answer.Status, c.answer.Complete, runs[c.answer.ID], clip(c.answer.Body)))
		}
	}
	return broken
}

// broken names the promise that a call broke, empty when none.
func (c *call) broken(runs int) string {
	repeatable := c.path == standin.StreamPath || c.path == standin.LookupPath || c.path == standin.AddedPath
	switch {
	case !repeatable && runs > 1:
		return "ran twice"
	case runs > maxTargets:
		return "ran at too many targets"
	case saysNotRun(c.answer.Status) && runs > 0:
		return "said not to have run"
	case c.answer.Status == http.StatusUnauthorized || c.answer.Status == http.StatusNotFound && c.path != standin.AddedPath:
		return "refused though allowed"
	case c.answer.Status == http.StatusOK && c.answer.Complete && c.answer.Body != c.expected():
		return "another answer"
	case c.answer.Status == http.StatusOK && c.answer.Complete && runs == 0:
		return "an answer without a run"
	default:
		return ""
	}
}

func saysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// expected is the whole answer to the call.
func (c *call) expected() string {
	if c.path == standin.StreamPath || c.path == standin.NonResumablePath {
		return standin.StreamBody(streamEvents)
	}
	return "answer to " + c.answer.ID
}

// regressed returns hosts that went back to a configuration without the added
// route after they had served it, within one start.
func regressed(calls []*call) []string {
	type start struct {
		host *host
		n    int
	}
	served := make(map[start]time.Time)
	for _, c := range calls {
		key := start{c.host, c.start}
		if first, ok := served[key]; c.path == standin.AddedPath && c.answer.Status == http.StatusOK && (!ok || c.sent.Before(first)) {
			served[key] = c.sent
		}
	}
	var out []string
	for _, c := range calls {
		first, ok := served[start{c.host, c.start}]
		if ok && c.path == standin.AddedPath && c.answer.Status == http.StatusNotFound && c.sent.After(first.Add(ownDelay)) {
			out = append(out, fmt.Sprintf("%s, start %d: no added route at %s, served at %s", c.host.name, c.start, c.sent.Format(time.StampMilli), first.Format(time.StampMilli)))
		}
	}
	return out
}

// ownDelay covers the time that a call takes to reach its host through slow
// connections.
const ownDelay = time.Second

// share is the part of calls that were answered with success. Those that
// callers left, and those on the added route before it was added, do not count.
func share(calls []*call, since, added time.Time) (part float64, n int) {
	good := 0
	for _, c := range calls {
		if c.left || c.sent.Before(since) || c.sent.Before(added) && c.path == standin.AddedPath {
			continue
		}
		n++
		if c.answer.Status == http.StatusOK && c.answer.Complete {
			good++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(good) / float64(n), n
}

func clip(body string) string {
	const most = 120
	if len(body) > most {
		return body[:most]
	}
	return body
}
