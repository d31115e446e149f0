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

// confirmWithin is the age at which the gate's last answer to a ping is renewed
// before a request is taken in.
const confirmWithin = settle.SendLease / 2

// Register adds the dispatcher's methods to mux.
func (d *Dispatcher) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.MethodSubmit, d.submit)
	peer.Handle(mux, peer.MethodCancel, d.cancel)
	peer.Handle(mux, peer.MethodAttach, d.attach)
	peer.Handle(mux, peer.MethodLookup, d.lookup)
	peer.Handle(mux, peer.MethodSweep, d.sweep)
}

// submit makes sure that the gate still waits before it takes the request in:
// the message may have lain in a buffer.
func (d *Dispatcher) submit(ctx context.Context, conn *peer.Conn, msg peer.Submit) (peer.SubmitResult, error) {
	if d.Clock.Now().Sub(conn.LastAnsweredPing()) > confirmWithin {
		if err := conn.Ping(ctx); err != nil {
			return peer.SubmitResult{}, err
		}
	}
	return ask(ctx, d, func() peer.SubmitResult { return d.accept(conn, msg) })
}

// accept takes msg into the queue, or says why not. A refused request is not
// kept, so it is proved that this dispatcher never sends it.
func (d *Dispatcher) accept(conn *peer.Conn, msg peer.Submit) peer.SubmitResult {
	refuse := func(kind errkind.Kind, detail string) peer.SubmitResult {
		return peer.SubmitResult{Kind: kind, Detail: detail, Pool: d.summary()}
	}
	if j := d.known(msg.ID); j != nil && !j.refusedUnsent() {
		d.listen(j, conn, j.parts.Chunks())
		return peer.SubmitResult{Pool: d.summary()}
	}
	if d.tombstones.Contains(msg.ID) {
		return refuse(errkind.CancelledBeforeRun, "the request was cancelled before it arrived")
	}
	if d.leaving {
		return refuse(errkind.ShuttingDown, fmt.Sprintf("dispatcher on host %s is stopping", d.Host))
	}
	if refused, _ := d.Quarantine.Check(msg.Fingerprint); refused {
		return refuse(errkind.Quarantined, fmt.Sprintf("fingerprint %016x", uint64(msg.Fingerprint)))
	}
	row := d.newRow(msg)
	if !d.servable(row) {
		return refuse(errkind.NoTarget, fmt.Sprintf("host %s owns none of the allowed targets", d.Host))
	}
	j := &job{msg: msg, row: row}
	d.trace(j)
	d.jobs[msg.ID] = j
	d.state.Requests.Put(row)
	d.listen(j, conn, nil)
	return peer.SubmitResult{Pool: d.summary()}
}

// refusedUnsent reports whether j ended without a byte to a target, so that its
// gate may submit it again.
func (j *job) refusedUnsent() bool {
	return j.outcome != nil && j.outcome.Retryable()
}

func (d *Dispatcher) newRow(msg peer.Submit) *tables.Request {
	now := d.Clock.Now()
	_, alone := d.Quarantine.Check(msg.Fingerprint)
	row := &tables.Request{
		ID: msg.ID, Customer: msg.Customer, Service: msg.Service, Fingerprint: msg.Fingerprint,
		Tier: msg.Tier, Share: msg.Share, Plain: msg.Plain, NonIdempotent: msg.NonIdempotent,
		Arrived: now.Add(-msg.Age), FirstTokenDue: now.Add(msg.FirstTokenIn), Due: now.Add(msg.DueIn),
		PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
		Allowed: msg.Allowed, Alone: alone,
	}
	if !msg.Plain {
		row.PrefixHashes = prefix.Chain(target.PrefixScope(msg.Model, msg.Adapter), msg.Body)
		row.PredictedTokens = d.state.Lengths.Predict(row)
	}
	return row
}

// servable reports whether an allowed target is open and takes r in.
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

func (d *Dispatcher) known(id tables.RequestID) *job {
	if j := d.jobs[id]; j != nil {
		return j
	}
	j, _ := d.kept.Get(id)
	return j
}

func (d *Dispatcher) sweep(ctx context.Context, _ *peer.Conn, q peer.Sweep) (peer.SweepResult, error) {
	return ask(ctx, d, func() peer.SweepResult {
		return peer.SweepResult{GiveUp: d.state.AllowRefusal(d.Clock.Now(), q.Tier, q.Targets)}
	})
}

func (d *Dispatcher) lookup(ctx context.Context, _ *peer.Conn, q peer.Lookup) (peer.Outcome, error) {
	return ask(ctx, d, func() peer.Outcome {
		j := d.known(q.ID)
		if j != nil && (q.Customer == "" || q.Customer == j.msg.Customer) {
			return d.outcomeOf(j)
		}
		return peer.Outcome{ID: q.ID}
	})
}

func (d *Dispatcher) cancel(ctx context.Context, _ *peer.Conn, q peer.CancelRequest) (peer.CancelResult, error) {
	known, err := ask(ctx, d, func() *peer.CancelResult { return d.cancelKnown(q.ID) })
	if err != nil {
		return peer.CancelResult{}, err
	}
	if known != nil {
		return *known, nil
	}
	return d.cancelAtTargets(ctx, q)
}

// cancelKnown cancels a job of this dispatcher. It returns nil and leaves a
// tombstone when there is none, or only one that was refused unsent: another
// dispatcher may have sent the request since, and only the targets can tell.
func (d *Dispatcher) cancelKnown(id tables.RequestID) *peer.CancelResult {
	j := d.known(id)
	switch {
	case j == nil, j.refusedUnsent():
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
