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

// recordTimeout limits the time to record one outcome.
const recordTimeout = 30 * time.Second

// job is one request that this dispatcher queued or took over.
type job struct {
	msg peer.Submit
	// request is the request's entry in the request table. It is nil for a job
	// that was taken over from another dispatcher; the entry of such a job only
	// counts towards the number of requests at its target.
	request *tables.Request
	target  tables.TargetID
	// endpoint is where target was when the request was sent or taken over. The
	// configuration may give the target another address later.
	endpoint endpoint
	started  bool
	// cancelReason is the reason for which the request was cancelled at its
	// target; empty if it was not, or if the cancel had no effect.
	cancelReason errkind.Kind
	received     stream.Answer
	outcome      *peer.Finished
	// listeners holds the connections to which the answer is sent. Each value is
	// the release function that MarkInUse returned for the connection.
	listeners map[*peer.Conn]func()
	// orphanedAt is when the connection of the last listener was closed; zero
	// while there is a listener.
	orphanedAt time.Time
	traceID    string
	// ctx and span belong to the trace of the request; nil for a job that was
	// taken over.
	ctx  context.Context
	span trace.Span
}

// addListener sends the given chunks of the answer to conn, followed by the
// outcome if there is one. If not, it subscribes conn to the rest of the answer.
func (d *Dispatcher) addListener(j *job, conn *peer.Conn, chunks []target.Chunk) {
	if j.started {
		conn.NotifyAsync(peer.NotifyStarted, peer.Started{ID: j.msg.ID, Target: j.target})
	}
	for _, c := range chunks {
		conn.NotifyAsync(peer.NotifyChunk, peer.Chunk{ID: j.msg.ID, Chunk: c})
	}
	if j.outcome != nil {
		conn.NotifyAsync(peer.NotifyFinished, *j.outcome)
		return
	}
	j.orphanedAt = time.Time{}
	if j.listeners[conn] != nil {
		return
	}
	if j.listeners == nil {
		j.listeners = make(map[*peer.Conn]func())
	}
	j.listeners[conn] = conn.MarkInUse()
	go d.watchListener(j, conn)
}

// removeListeners removes all listeners of j.
func (j *job) removeListeners() {
	for _, release := range j.listeners {
		release()
	}
	j.listeners = nil
}

// watchListener removes conn from the listeners of j when conn is closed. The
// request continues without a listener: its gate may attach again, or the caller
// may look up the answer.
func (d *Dispatcher) watchListener(j *job, conn *peer.Conn) {
	select {
	case <-d.ctx.Done():
		return
	case <-conn.Done():
	}
	d.post(func() { d.removeListener(j, conn) })
}

// removeListener removes conn from the listeners of j. If it was the last one, j
// becomes an orphan.
func (d *Dispatcher) removeListener(j *job, conn *peer.Conn) {
	release, ok := j.listeners[conn]
	if !ok {
		return
	}
	release()
	delete(j.listeners, conn)
	if len(j.listeners) == 0 {
		j.orphanedAt = d.Clock.Now()
	}
}

// dropOrphans ends the queued requests whose gate did not attach again within
// orphanGrace.
func (d *Dispatcher) dropOrphans(now time.Time) {
	for _, j := range d.jobs {
		waiting := !j.started && !j.orphanedAt.IsZero()
		if waiting && now.Sub(j.orphanedAt) >= orphanGrace {
			d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: "the gate of the request is gone"})
		}
	}
}

func (j *job) notify(method string, params any) {
	for conn := range j.listeners {
		conn.NotifyAsync(method, params)
	}
}

// addChunk appends c to the answer if it continues the answer, and drops it
// otherwise, for example if it is a duplicate.
func (d *Dispatcher) addChunk(j *job, c target.Chunk) {
	if j.outcome != nil || j.received.Add(c) != stream.Appended {
		return
	}
	if j.request != nil {
		if c.Offset == 0 {
			d.state.Prefixes.UpdateConfidence(j.target, j.request.CachedTokens, c.CachedTokens)
			j.request.CachedTokens = c.CachedTokens
		}
		if t := d.state.Targets.Get(j.target); t != nil {
			measure.RecordChunk(d.Clock.Now(), t, j.request, c.Tokens)
		}
	}
	j.notify(peer.NotifyChunk, peer.Chunk{ID: j.msg.ID, Chunk: c})
}

// finish ends j with the outcome f. It has no effect if j already has an outcome.
func (d *Dispatcher) finish(j *job, f peer.Finished) {
	if j.outcome != nil {
		return
	}
	now := d.Clock.Now()
	f.ID = j.msg.ID
	f.Target = j.target
	f.Tokens = j.received.EndOffset()
	d.removeFromTables(now, j, f)
	f.Pool = d.summarize()
	j.outcome = &f
	j.notify(peer.NotifyFinished, f)
	j.removeListeners()
	d.logFinished(j, f)
	d.record(j, f)
}

func (d *Dispatcher) removeFromTables(now time.Time, j *job, f peer.Finished) {
	if d.jobs[j.msg.ID] == j {
		delete(d.jobs, j.msg.ID)
		d.state.Requests.Delete(j.msg.ID)
	}
	d.finished.Add(j.msg.ID, j)
	if j.request == nil {
		return
	}
	if t := d.state.Targets.Get(j.target); t != nil && j.started {
		measure.RecordFinish(now, t, j.request, f.Kind)
	}
	if f.Kind == errkind.None && !j.request.PlainService {
		d.state.Lengths.Observe(j.request, j.received.EndOffset())
	}
	j.request.State = tables.Finished
	d.endTrace(j, f.Kind)
	d.Observer.Ended(j.request, f, now)
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
		zap.Int("tokens", j.received.EndOffset()),
		zap.String("detail", f.Detail))
}

// record stores the outcome of a keyed request that ran. The outcome of a request
// that did not run is left to the gate, which may still submit the request to
// another dispatcher.
func (d *Dispatcher) record(j *job, f peer.Finished) {
	if j.msg.Key == "" || f.Kind.Answer().Ran != errkind.RanYes {
		return
	}
	r := peer.Record{Customer: j.msg.Customer, Service: j.msg.Service, Key: j.msg.Key, Outcome: d.outcomeOf(j)}
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), recordTimeout)
		defer cancel()
		_ = d.Outcomes.Record(ctx, r)
	}()
}

// outcomeOf returns the current state or the outcome of j.
func (d *Dispatcher) outcomeOf(j *job) peer.Outcome {
	o := peer.Outcome{ID: j.msg.ID, Known: true, Target: j.target, Tokens: j.received.EndOffset(), TraceID: j.traceID, Key: j.msg.Key}
	if j.outcome == nil {
		return o
	}
	o.Done = true
	o.Provisional = j.refusedBeforeSend()
	o.Kind = j.outcome.Kind
	o.Detail = j.outcome.Detail
	o.Status = j.outcome.Status
	if j.outcome.Kind == errkind.None && j.received.FromStart() {
		o.Body = j.completeAnswer()
		o.BodyKept = true
	}
	return o
}

// completeAnswer returns the complete answer of a finished job.
func (j *job) completeAnswer() []byte {
	if j.msg.Plain {
		return j.outcome.Body
	}
	return j.received.Text()
}
