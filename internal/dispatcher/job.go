package dispatcher

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/measure"
	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// recordTimeout bounds the recording of one outcome.
const recordTimeout = 30 * time.Second

// job is one request in the hands of the dispatcher.
type job struct {
	msg peer.Submit
	// row is nil for a job that was taken over from another dispatcher. The
	// row in the request table then only counts it at its target.
	row     *tables.Request
	target  tables.TargetID
	started bool
	// reason is why a cancel was sent; empty without one.
	reason  errkind.Kind
	parts   stream.Answer
	outcome *peer.Finished
	// listeners are the connections that get the answer, with the function
	// that ends the watch on each.
	listeners map[*peer.Conn]func()
	// orphaned is when the last listener's connection broke; zero otherwise.
	orphaned time.Time
	traceID  string
	// ctx and span belong to the trace of the request; nil for a job that was
	// taken over.
	ctx  context.Context
	span trace.Span
}

// listen sends parts of the answer to conn, and what follows them.
func (d *Dispatcher) listen(j *job, conn *peer.Conn, parts []target.Chunk) {
	if j.started {
		conn.NotifyAsync(peer.NotifyStarted, peer.Started{ID: j.msg.ID, Target: j.target})
	}
	for _, c := range parts {
		conn.NotifyAsync(peer.NotifyChunk, peer.Chunk{ID: j.msg.ID, Chunk: c})
	}
	if j.outcome != nil {
		conn.NotifyAsync(peer.NotifyFinished, *j.outcome)
		return
	}
	j.orphaned = time.Time{}
	if j.listeners[conn] != nil {
		return
	}
	if j.listeners == nil {
		j.listeners = make(map[*peer.Conn]func())
	}
	j.listeners[conn] = conn.MarkInUse()
	go d.watchListener(j, conn)
}

// unlisten forgets every listener of j.
func (j *job) unlisten() {
	for _, release := range j.listeners {
		release()
	}
	j.listeners = nil
}

// watchListener marks j as orphaned when its last connection breaks. The
// request goes on: its gate may attach again, or the caller may look the
// answer up.
func (d *Dispatcher) watchListener(j *job, conn *peer.Conn) {
	select {
	case <-d.ctx.Done():
		return
	case <-conn.Done():
	}
	d.post(func() { d.loseListener(j, conn) })
}

func (d *Dispatcher) loseListener(j *job, conn *peer.Conn) {
	release, ok := j.listeners[conn]
	if !ok {
		return
	}
	release()
	delete(j.listeners, conn)
	if len(j.listeners) == 0 {
		j.orphaned = d.Clock.Now()
	}
}

// dropOrphans refuses queued requests whose gate did not come back.
func (d *Dispatcher) dropOrphans(now time.Time) {
	for _, j := range d.jobs {
		waiting := !j.started && !j.orphaned.IsZero()
		if waiting && now.Sub(j.orphaned) >= orphanGrace {
			d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: "the gate of the request is gone"})
		}
	}
}

func (j *job) notify(method string, params any) {
	for conn := range j.listeners {
		conn.NotifyAsync(method, params)
	}
}

// addChunk appends c when it continues the answer and drops a repeated part.
func (d *Dispatcher) addChunk(j *job, c target.Chunk) {
	if j.outcome != nil || j.parts.Add(c) != stream.Appended {
		return
	}
	if j.row != nil {
		if c.Offset == 0 {
			d.state.Prefixes.UpdateConfidence(j.target, j.row.CachedTokens, c.CachedTokens)
			j.row.CachedTokens = c.CachedTokens
		}
		if t := d.state.Targets.Get(j.target); t != nil {
			measure.RecordChunk(d.Clock.Now(), t, j.row, c.Tokens)
		}
	}
	j.notify(peer.NotifyChunk, peer.Chunk{ID: j.msg.ID, Chunk: c})
}

// finish ends j with f; the first outcome stands.
func (d *Dispatcher) finish(j *job, f peer.Finished) {
	if j.outcome != nil {
		return
	}
	now := d.Clock.Now()
	f.ID = j.msg.ID
	f.Target = j.target
	f.Tokens = j.parts.Tokens()
	d.leaveTables(now, j, f)
	f.Pool = d.summary()
	j.outcome = &f
	j.notify(peer.NotifyFinished, f)
	j.unlisten()
	d.logFinished(j, f)
	d.record(j, f)
}

func (d *Dispatcher) leaveTables(now time.Time, j *job, f peer.Finished) {
	if d.jobs[j.msg.ID] == j {
		delete(d.jobs, j.msg.ID)
		d.state.Requests.Delete(j.msg.ID)
	}
	d.kept.Add(j.msg.ID, j)
	if j.row == nil {
		return
	}
	if t := d.state.Targets.Get(j.target); t != nil && j.started {
		measure.RecordFinish(now, t, j.row, f.Kind)
	}
	if f.Kind == errkind.None && !j.row.Plain {
		d.state.Lengths.Observe(j.row, j.parts.Tokens())
	}
	j.row.State = tables.Finished
	d.endTrace(j, f.Kind)
	d.Observer.Ended(j.row, f, now)
}

func (d *Dispatcher) logFinished(j *job, f peer.Finished) {
	e := event.RequestFinished
	if f.Kind.Answer().Ran == errkind.RanNo {
		e = event.RequestRefused
	}
	if f.Kind == errkind.OutcomeUnknown {
		e = event.RequestOutcomeUnknown
	}
	e.Log(d.Logger,
		zap.String("request", string(j.msg.ID)),
		zap.String("kind", string(f.Kind)),
		zap.String("target", string(j.target)),
		zap.Int("tokens", j.parts.Tokens()),
		zap.String("detail", f.Detail))
}

// record stores the outcome of a keyed request that ran. "Not run" is left to
// the gate, which may still submit the request elsewhere.
func (d *Dispatcher) record(j *job, f peer.Finished) {
	if j.msg.Key == "" || f.Kind.Answer().Ran != errkind.RanYes {
		return
	}
	r := peer.Record{Customer: j.msg.Customer, Service: j.msg.Service, Key: j.msg.Key, Outcome: d.outcomeOf(j)}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), recordTimeout)
		defer cancel()
		_ = d.Outcomes.Record(ctx, r)
	}()
}

// outcomeOf describes what is known of j.
func (d *Dispatcher) outcomeOf(j *job) peer.Outcome {
	o := peer.Outcome{ID: j.msg.ID, Known: true, Target: j.target, Tokens: j.parts.Tokens(), TraceID: j.traceID, Key: j.msg.Key}
	if j.outcome == nil {
		return o
	}
	o.Done = true
	o.Provisional = j.refusedUnsent()
	o.Kind = j.outcome.Kind
	o.Detail = j.outcome.Detail
	o.Status = j.outcome.Status
	if j.outcome.Kind == errkind.None && j.parts.FromStart() {
		o.Body = j.answer()
		o.BodyKept = true
	}
	return o
}

// answer returns the whole answer of a finished job.
func (j *job) answer() []byte {
	if j.msg.Plain {
		return j.outcome.Body
	}
	return j.parts.Text()
}
