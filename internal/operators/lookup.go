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

// ShowRequest looks the request up at its home host. If the home reports that the
// request ran and has ended, ShowRequest returns that outcome. Otherwise it also
// queries all other hosts and returns the most advanced outcome.
func (h *Handler) ShowRequest(ctx context.Context, params api.ShowRequestParams) (*api.RequestView, error) {
	id := tables.RequestID(params.ID)
	home, err := id.Home()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.MalformedRequest, "the request ID is malformed")
	}
	homes, others := splitByHome(h.Members.Hosts(), home)
	found := h.lookUp(ctx, id, homes)
	if !endedAfterRunning(found.best) {
		found = found.merge(h.lookUp(ctx, id, others))
	}
	if !found.best.Known {
		detail := fmt.Sprintf("%d of %d hosts answered and none knows request %q", found.responded, found.queried, params.ID)
		return nil, errkind.New(errkind.UnknownRequest, detail)
	}
	return requestView(id, home, found.best), nil
}

func endedAfterRunning(o peer.Outcome) bool {
	return o.Known && o.Done && o.Kind.Answer().Ran == errkind.RanYes
}

func splitByHome(hosts []tables.Host, home tables.HostID) (homes, others []tables.Host) {
	for _, host := range hosts {
		if host.ID == home {
			homes = append(homes, host)
			continue
		}
		others = append(others, host)
	}
	return homes, others
}

// lookupResult aggregates the responses of hosts to the lookup of one request.
type lookupResult struct {
	queried   int
	responded int
	best      peer.Outcome
}

func (r lookupResult) merge(other lookupResult) lookupResult {
	return lookupResult{
		queried:   r.queried + other.queried,
		responded: r.responded + other.responded,
		best:      mostAdvanced(r.best, other.best),
	}
}

// mostAdvanced returns the outcome with the higher progress, or a if both have the
// same.
func mostAdvanced(a, b peer.Outcome) peer.Outcome {
	if progress(b) > progress(a) {
		return b
	}
	return a
}

// progress returns a rank that orders outcomes by how far the request has
// progressed. The outcome "not run" ranks below "queued", because it only means
// that the reporting dispatcher did not run the request: another dispatcher may
// have accepted the request afterwards.
func progress(o peer.Outcome) int {
	const (
		notKnown = iota
		didNotRun
		queued
		running
		mayHaveRun
		didRun
	)
	switch {
	case !o.Known:
		return notKnown
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

func (h *Handler) lookUp(ctx context.Context, id tables.RequestID, hosts []tables.Host) lookupResult {
	found := lookupResult{queried: len(hosts)}
	for _, o := range callHosts[peer.Outcome](ctx, h.Peers, hosts, peer.MethodLookup, peer.Lookup{ID: id}) {
		if o == nil {
			continue
		}
		found.responded++
		found.best = mostAdvanced(found.best, *o)
	}
	return found
}

func requestView(id tables.RequestID, home tables.HostID, o peer.Outcome) *api.RequestView {
	view := &api.RequestView{
		ID:     string(id),
		Known:  true,
		State:  requestState(o),
		Ran:    requestRan(o),
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

// requestRan reports whether the request ran. The result is unknown until the
// request has ended: a queued request may start at any time, and a request that one
// dispatcher refused may be submitted to another dispatcher.
func requestRan(o peer.Outcome) api.RequestViewRan {
	if !o.Done || o.Provisional {
		return api.RequestViewRanUnknown
	}
	return api.RequestViewRan(o.Kind.Answer().Ran)
}
