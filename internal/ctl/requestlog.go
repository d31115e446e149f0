package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
)

// maxLogLineBytes is the maximum length of a log line in bytes.
const maxLogLineBytes = 1 << 20

// logLine holds the fields of a host's log line that describe a request.
type logLine struct {
	Time            time.Time `json:"time"`
	Node            string    `json:"node"`
	Event           int       `json:"event"`
	Message         string    `json:"message"`
	Request         string    `json:"request"`
	Kind            string    `json:"kind"`
	Reason          string    `json:"reason"`
	Target          string    `json:"target"`
	Error           string    `json:"error"`
	Host            string    `json:"host"`
	From            string    `json:"from"`
	Via             string    `json:"via"`
	Detail          string    `json:"detail"`
	TimeToFirstByte string    `json:"first"`
	LongestEventGap string    `json:"longest_pause"`
	Waited          string    `json:"waited"`
	Took            string    `json:"took"`
	WaitingRequests int       `json:"waiting"`
	SlotsInUse      int       `json:"in_use"`
}

// requestHistory holds the log lines about one request, in order of time.
type requestHistory struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	// Cause states why the request ended the way it did.
	Cause string `json:"cause"`
}

// explainRequest prints the lines about a request from the log files that match
// pattern, and the cause inferred from them.
func (a *app) explainRequest(request, pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return usageError("--logs %q: %s", pattern, err)
	}
	if len(files) == 0 {
		return usageError("--logs %q matches no file", pattern)
	}
	history := requestHistory{Request: request}
	for _, f := range files {
		lines, err := readRequestLines(f, request)
		if err != nil {
			return usageError("log file: %s", err)
		}
		history.Lines = append(history.Lines, lines...)
	}
	slices.SortStableFunc(history.Lines, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	history.Cause = inferCause(history.Lines)
	return a.print(history, func(w io.Writer) {
		writeRow(w, "TIME", "NODE", "EVENT", "MESSAGE", "DETAIL")
		for _, l := range history.Lines {
			writeRow(w, l.Time.Format(time.StampMicro), l.Node, l.Event, l.Message, l.details())
		}
		writeRow(w, "cause:", history.Cause)
	})
}

// readRequestLines returns the lines of the log file at path that are about the
// request. It ignores text before the JSON object of a line and skips lines without
// a valid JSON object.
func readRequestLines(path, request string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var out []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var l logLine
		if json.Unmarshal(text[start:], &l) == nil && l.Request == request {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s", path), err)
	}
	return out, nil
}

// details returns the non-empty fields of the line that describe the event, as
// name=value pairs.
func (l logLine) details() string {
	var parts []string
	for _, p := range []struct{ name, value string }{
		{"kind", l.Kind}, {"reason", l.Reason}, {"target", l.Target}, {"host", l.Host}, {"from", l.From}, {"via", l.Via}, {"waited", l.Waited}, {"first", l.TimeToFirstByte},
		{"longest_pause", l.LongestEventGap}, {"took", l.Took}, {"error", l.Error}, {"detail", l.Detail},
	} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	return strings.Join(parts, " ")
}

// inferCause returns why a request ended the way it did. lines are the log lines of
// the request in order of time.
func inferCause(lines []logLine) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no host, or its lines were left out (event 1008)"
	}
	var refused, failed, finished *logLine
	for i := range lines {
		switch lines[i].Event {
		case event.SlotRefused.Number:
			refused = &lines[i]
		case event.SendFailed.Number:
			failed = &lines[i]
		case event.RequestFinished.Number:
			finished = &lines[i]
		}
	}
	switch {
	case finished == nil:
		return "the request has not ended, or its host ended first"
	case finished.Kind == "":
		return fmt.Sprintf("answered whole: first byte after %s, longest pause %s", finished.TimeToFirstByte, cmp.Or(finished.LongestEventGap, "none"))
	case refused != nil && failed == nil:
		return fmt.Sprintf("refused (%s), never sent: %d requests waited and %d places were in use after a wait of %s",
			refused.Reason, refused.WaitingRequests, refused.SlotsInUse, refused.Waited)
	case failed != nil:
		return fmt.Sprintf("%s: the send to %s%s failed: %s", finished.Kind, failed.Target, throughHost(failed.Via), failed.Error)
	default:
		return fmt.Sprintf("%s: %s", finished.Kind, cmp.Or(finished.Detail, errkind.Kind(finished.Kind).Answer().Explanation))
	}
}

// throughHost names the host that sent a request for the one that had it; empty if there
// was none.
func throughHost(via string) string {
	if via == "" {
		return ""
	}
	return " through " + via
}
