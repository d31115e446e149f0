package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
)

func (a *app) statusCommand(parser *flaggy.Parser) leafCommand {
	sub := attach(parser, "status", "print the state of all hosts and targets as known to the host")
	return leafCommand{sub, a.status}
}

func (a *app) status(ctx context.Context) error {
	s, err := a.client.GetStatus(ctx)
	if err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "view of host %s: version %d, log %s\n\n", s.Host, s.Version, formatReachable(s.LogReachable))
		writeRow(w, "HOST", "FAILURE DOMAIN", "STATE", "VERSION", "LAST CONTACT")
		for _, h := range s.Hosts {
			writeRow(w, h.ID, h.FailureDomain, string(h.State), h.Version, formatLastContact(h))
		}
		fmt.Fprintln(w)
		writeRow(w, "TARGET", "FAILURE DOMAIN", "OWNER", "WINDOW", "RUNNING", "QUEUED BY TIER", "FLAGS")
		for _, t := range s.Targets {
			writeRow(w, t.ID, t.FailureDomain.Value, t.Owner, t.Window, t.Running, formatCounts(t.Queued), targetFlags(t))
		}
	})
}

func formatReachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "not reachable"
}

func formatLastContact(h api.HostStatus) string {
	if !h.HeardMsAgo.Set {
		return "never" + notReporting(h)
	}
	return fmt.Sprintf("%d ms ago%s", h.HeardMsAgo.Value, notReporting(h))
}

func formatCounts(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, "/")
}

func targetFlags(t api.TargetStatus) string {
	var out []string
	if t.Drained.Value {
		out = append(out, "drained")
	}
	if t.Leaving.Value {
		out = append(out, "leaving")
	}
	if t.Straggler.Value {
		out = append(out, "straggler")
	}
	return strings.Join(out, ",")
}
