package operators

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/trace"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ShowRequest asks the home of the ID and, when that does not know that the
// request ran to an end, every other host.
func (h *Handler) ShowRequest(ctx context.Context, params api.ShowRequestParams) (*api.RequestView, error) {
	id := tables.RequestID(params.ID)
	home, err := id.Home()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.MalformedRequest, "the request ID is malformed")
	}
	homes, others := split(h.Members.Hosts(), home)
	found := h.ask(ctx, id, homes)
	if !endedAfterRunning(found.best) {
		found = found.merge(h.ask(ctx, id, others))
	}
	if !found.best.Known {
		detail := fmt.Sprintf("%d of %d hosts answered and none knows request %q", found.answered, found.asked, params.ID)
		return nil, errkind.New(errkind.UnknownRequest, detail)
	}
	return requestView(id, home, found.best), nil
}

func endedAfterRunning(o peer.Outcome) bool {
	return o.Known && o.Done && o.Kind.Answer().Ran == errkind.RanYes
}

func split(hosts []tables.Host, home tables.HostID) (homes, others []tables.Host) {
	for _, host := range hosts {
		if host.ID == home {
			homes = append(homes, host)
			continue
		}
		others = append(others, host)
	}
	return homes, others
}

// findings collects the answers of hosts about one request.
type findings struct {
	asked    int
	answered int
	best     peer.Outcome
}

func (f findings) merge(other findings) findings {
	return findings{
		asked:    f.asked + other.asked,
		answered: f.answered + other.answered,
		best:     better(f.best, other.best),
	}
}

// better prefers the outcome that saw the request get further. A dispatcher
// that refused a request says "not run" of itself only: another one may have
// run it since.
func better(a, b peer.Outcome) peer.Outcome {
	if progress(b) > progress(a) {
		return b
	}
	return a
}

// progress orders outcomes by how far the request is known to have got.
func progress(o peer.Outcome) int {
	const (
		neverHeardOf = iota
		didNotRun
		queued
		running
		mayHaveRun
		didRun
	)
	switch {
	case !o.Known:
		return neverHeardOf
	case !o.Done && o.Target == "":
		return queued
	case !o.Done:
		return running
	}
	switch o.Kind.Answer().Ran {
	case errkind.RanNo:
		return didNotRun
	case errkind.RanYes:
		return didRun
	default:
		return mayHaveRun
	}
}

func (h *Handler) ask(ctx context.Context, id tables.RequestID, hosts []tables.Host) findings {
	found := findings{asked: len(hosts)}
	for _, o := range askHosts[peer.Outcome](ctx, h.Peers, hosts, peer.MethodLookup, peer.Lookup{ID: id}) {
		if o == nil {
			continue
		}
		found.answered++
		found.best = better(found.best, *o)
	}
	return found
}

func requestView(id tables.RequestID, home tables.HostID, o peer.Outcome) *api.RequestView {
	view := &api.RequestView{
		ID:     string(id),
		Known:  true,
		State:  requestState(o),
		Ran:    ran(o),
		Kind:   optional(string(o.Kind)),
		Detail: optional(o.Detail),
		Home:   optional(string(home)),
		Target: optional(string(o.Target)),
		Key:    optional(o.Key),
	}
	if id, err := trace.TraceIDFromHex(o.TraceID); err == nil && id.IsValid() {
		view.TraceID = api.NewOptString(o.TraceID)
	}
	if o.Tokens > 0 {
		view.Tokens = api.NewOptInt(o.Tokens)
	}
	return view
}

func requestState(o peer.Outcome) api.RequestViewState {
	switch {
	case o.Done && !o.Provisional:
		return api.RequestViewStateFinished
	case o.Target != "":
		return api.RequestViewStateRunning
	default:
		return api.RequestViewStateQueued
	}
}

// ran is unknown until the request has ended: a queued one may start at any
// moment, and one that a dispatcher refused may be submitted elsewhere.
func ran(o peer.Outcome) api.RequestViewRan {
	if !o.Done || o.Provisional {
		return api.RequestViewRanUnknown
	}
	return api.RequestViewRan(o.Kind.Answer().Ran)
}
