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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is what a story needs of a line of a host's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	Kind    string    `json:"kind"`
	Reason  string    `json:"reason"`
	Target  string    `json:"target"`
	Error   string    `json:"error"`
	Detail  string    `json:"detail"`
	// First is the time to the first byte, LongestPause the longest time between
	// two events of a stream.
	First        string `json:"first"`
	LongestPause string `json:"longest_pause"`
	Waited       string `json:"waited"`
	Took         string `json:"took"`
	Waiting      int    `json:"waiting"`
	InUse        int    `json:"in_use"`
}

// story is what the logs of all hosts say of one request.
type story struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	// Cause is why the request ended as it did.
	Cause string `json:"cause"`
}

// tell prints the story of a request from the log files that match pattern.
func (a *app) tell(request, pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return usage("--logs %q: %s", pattern, err)
	}
	if len(files) == 0 {
		return usage("--logs %q matches no file", pattern)
	}
	s := story{Request: request}
	for _, f := range files {
		lines, err := linesOf(f, request)
		if err != nil {
			return usage("log file: %s", err)
		}
		s.Lines = append(s.Lines, lines...)
	}
	slices.SortStableFunc(s.Lines, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	s.Cause = causeOf(s.Lines)
	return a.print(s, func(w io.Writer) {
		row(w, "TIME", "NODE", "EVENT", "WHAT", "DETAIL")
		for _, l := range s.Lines {
			row(w, l.Time.Format(time.StampMicro), l.Node, l.Event, l.Message, l.summary())
		}
		row(w, "cause:", s.Cause)
	})
}

// linesOf returns the lines of a file that concern a request. Lines that are no
// JSON are passed over.
func linesOf(path, request string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var out []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
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

// summary is the part of a line that decided what happened.
func (l logLine) summary() string {
	var parts []string
	for _, p := range []struct{ name, value string }{
		{"kind", l.Kind}, {"reason", l.Reason}, {"target", l.Target}, {"waited", l.Waited}, {"first", l.First},
		{"longest_pause", l.LongestPause}, {"took", l.Took}, {"error", l.Error}, {"detail", l.Detail},
	} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	return strings.Join(parts, " ")
}

// causeOf concludes from the lines of a request, in order of time.
func causeOf(lines []logLine) string {
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
		return fmt.Sprintf("answered whole: first byte after %s, longest pause %s", finished.First, cmp.Or(finished.LongestPause, "none"))
	case refused != nil && failed == nil:
		return fmt.Sprintf("refused (%s), never sent: %d requests waited and %d places were in use after a wait of %s",
			refused.Reason, refused.Waiting, refused.InUse, refused.Waited)
	case failed != nil:
		return fmt.Sprintf("%s: the send to %s failed: %s", finished.Kind, failed.Target, failed.Error)
	default:
		return fmt.Sprintf("%s: %s", finished.Kind, cmp.Or(finished.Detail, errkind.Kind(finished.Kind).Answer().Explanation))
	}
}
