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

func (a *app) statusCommand(parser *flaggy.Parser) node {
	sub := attach(parser, "status", "print hosts, versions and targets as the host sees them")
	return node{sub, a.status}
}

func (a *app) status(ctx context.Context) error {
	s, err := a.client.GetStatus(ctx)
	if err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "seen from %s: version %d, log %s\n\n", s.Host, s.Version, reachable(s.LogReachable))
		row(w, "HOST", "FAILURE DOMAIN", "STATE", "VERSION", "HEARD")
		for _, h := range s.Hosts {
			row(w, h.ID, h.FailureDomain, string(h.State), h.Version, heard(h))
		}
		fmt.Fprintln(w)
		row(w, "TARGET", "FAILURE DOMAIN", "OWNER", "WINDOW", "RUNNING", "QUEUED BY TIER", "MARKS")
		for _, t := range s.Targets {
			row(w, t.ID, t.FailureDomain.Value, t.Owner, t.Window, t.Running, counts(t.Queued), marks(t))
		}
	})
}

func reachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "not reachable"
}

func heard(h api.HostStatus) string {
	if !h.HeardMsAgo.Set {
		return "never" + unheard(h)
	}
	return fmt.Sprintf("%d ms ago%s", h.HeardMsAgo.Value, unheard(h))
}

func counts(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, "/")
}

func marks(t api.TargetStatus) string {
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
