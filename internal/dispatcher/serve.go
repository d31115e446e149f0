package dispatcher

import (
	"context"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// maxPingAge is the maximum age of the gate's last answered ping when a request
// is accepted. An older ping is repeated first.
const maxPingAge = settle.SendLease / 2

// Register adds the dispatcher's methods to mux.
func (d *Dispatcher) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.MethodSubmit, d.submit)
	peer.Handle(mux, peer.MethodCancel, d.cancel)
	peer.Handle(mux, peer.MethodAttach, d.attach)
	peer.Handle(mux, peer.MethodLookup, d.lookup)
	peer.Handle(mux, peer.MethodConfirmRefusal, d.allowRefusal)
}

// submit handles MethodSubmit. It pings the gate before it accepts the request,
// unless a recent ping was answered, because the message may have waited in a
// buffer and the gate may no longer wait for the answer.
func (d *Dispatcher) submit(ctx context.Context, conn *peer.Conn, msg peer.Submit) (peer.SubmitResult, error) {
	if d.Clock.Now().Sub(conn.LastAnsweredPing()) > maxPingAge {
		if err := conn.Ping(ctx); err != nil {
			return peer.SubmitResult{}, err
		}
	}
	return callInLoop(ctx, d, func() peer.SubmitResult { return d.accept(conn, msg) })
}

// accept queues msg or returns the reason for refusing it. A refused request is
// not kept, so this dispatcher never sends it. If the request was accepted before,
// accept sends its answer to conn instead.
func (d *Dispatcher) accept(conn *peer.Conn, msg peer.Submit) peer.SubmitResult {
	refuse := func(kind errkind.Kind, detail string) peer.SubmitResult {
		return peer.SubmitResult{Kind: kind, Detail: detail, Pool: d.summarize()}
	}
	if j := d.findJob(msg.ID); j != nil && !j.refusedBeforeSend() {
		d.addListener(j, conn, j.received.Chunks())
		return peer.SubmitResult{Pool: d.summarize()}
	}
	if d.tombstones.Contains(msg.ID) {
		return refuse(errkind.CancelledBeforeRun, "the request was cancelled before it arrived")
	}
	if d.draining {
		return refuse(errkind.ShuttingDown, fmt.Sprintf("dispatcher on host %s is stopping", d.Host))
	}
	if refused, _ := d.Quarantine.Check(msg.Fingerprint); refused {
		return refuse(errkind.Quarantined, fmt.Sprintf("fingerprint %016x", uint64(msg.Fingerprint)))
	}
	r := d.newRequest(msg)
	if !d.servable(r) {
		return refuse(errkind.NoTarget, fmt.Sprintf("host %s owns none of the allowed targets", d.Host))
	}
	j := &job{msg: msg, request: r}
	d.startTrace(j)
	d.jobs[msg.ID] = j
	d.state.Requests.Put(r)
	d.addListener(j, conn, nil)
	return peer.SubmitResult{Pool: d.summarize()}
}

// refusedBeforeSend reports whether j ended with a refusal before any byte was sent
// to a target, so that its gate may submit it again.
func (j *job) refusedBeforeSend() bool {
	return j.outcome != nil && j.outcome.Retryable()
}

func (d *Dispatcher) newRequest(msg peer.Submit) *tables.Request {
	now := d.Clock.Now()
	_, mustRunAlone := d.Quarantine.Check(msg.Fingerprint)
	r := &tables.Request{
		ID: msg.ID, Customer: msg.Customer, Service: msg.Service, Fingerprint: msg.Fingerprint,
		Tier: msg.Tier, Share: msg.Share, PlainService: msg.Plain, NonIdempotent: msg.NonIdempotent,
		Arrived: now.Add(-msg.Age), FirstTokenDue: now.Add(msg.FirstTokenIn), Due: now.Add(msg.DueIn),
		PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
		Allowed: msg.Allowed, Alone: mustRunAlone,
	}
	if !msg.Plain {
		r.PrefixHashes = prefix.Chain(target.PrefixScope(msg.Model, msg.Adapter), msg.Body)
		r.PredictedTokens = d.state.Lengths.Predict(r)
	}
	return r
}

// servable reports whether this host may queue r for at least one of its allowed
// targets.
func (d *Dispatcher) servable(r *tables.Request) bool {
	now := d.Clock.Now()
	for _, id := range r.Allowed {
		t := d.state.Targets.Get(id)
		if t != nil && d.state.Accepts(now, id, r.Tier) && t.Available(now) && t.Serves(r) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) findJob(id tables.RequestID) *job {
	if j := d.jobs[id]; j != nil {
		return j
	}
	j, _ := d.finished.Get(id)
	return j
}

func (d *Dispatcher) allowRefusal(ctx context.Context, _ *peer.Conn, q peer.RefusalRequest) (peer.RefusalResult, error) {
	return callInLoop(ctx, d, func() peer.RefusalResult {
		return peer.RefusalResult{AllowRefusal: d.state.AllowRefusal(d.Clock.Now(), q.Tier, q.Targets)}
	})
}

func (d *Dispatcher) lookup(ctx context.Context, _ *peer.Conn, q peer.Lookup) (peer.Outcome, error) {
	return callInLoop(ctx, d, func() peer.Outcome {
		j := d.findJob(q.ID)
		if j != nil && (q.Customer == "" || q.Customer == j.msg.Customer) {
			return d.outcomeOf(j)
		}
		return peer.Outcome{ID: q.ID}
	})
}

func (d *Dispatcher) cancel(ctx context.Context, _ *peer.Conn, q peer.CancelRequest) (peer.CancelResult, error) {
	result, err := callInLoop(ctx, d, func() *peer.CancelResult { return d.cancelLocal(q.ID) })
	if err != nil {
		return peer.CancelResult{}, err
	}
	if result != nil {
		return *result, nil
	}
	return d.cancelAtTargets(ctx, q)
}

// cancelLocal cancels a job of this dispatcher. If there is no job, or the job
// ended with a refusal before it was sent to a target, cancelLocal sets a tombstone
// and returns nil: another dispatcher may have sent the request since, and only the
// targets know whether it ran.
func (d *Dispatcher) cancelLocal(id tables.RequestID) *peer.CancelResult {
	j := d.findJob(id)
	switch {
	case j == nil, j.refusedBeforeSend():
		d.tombstones.Add(id, struct{}{})
		return nil
	case j.outcome != nil:
		return &peer.CancelResult{Progress: progressOf(j.outcome.Kind), Target: j.target}
	case !j.started:
		d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun})
		return &peer.CancelResult{Progress: target.NeverStarted}
	}
	d.cancelRunning(j, errkind.CancelledWhileRunning)
	return &peer.CancelResult{Progress: target.InProgress, Target: j.target}
}

func progressOf(k errkind.Kind) target.Progress {
	switch k.Answer().Ran {
	case errkind.RanNo:
		return target.NeverStarted
	case errkind.RanUnknown:
		return target.NotKnown
	case errkind.RanYes:
	}
	if k == errkind.None {
		return target.Completed
	}
	return target.Failed
}
