package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Bounds on following an answer stream.
const (
	// streamSilence is the time without progress after which a stream is
	// resumed on a new connection.
	streamSilence = 2 * time.Second
	// resumeAttempts bounds the resumes that fail in a row.
	resumeAttempts = 5
	resumeFirst    = 50 * time.Millisecond
	resumeLongest  = 1 * time.Second
)

// openStream is an answer stream with the function that drops its connection.
type openStream struct {
	target.Stream
	drop context.CancelFunc
}

// start hands j to the adapter of its target. It runs on the owning goroutine.
func (d *Dispatcher) start(j *job, id tables.TargetID) {
	if d.abandoned(j) {
		d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: "the gate of the request is gone"})
		return
	}
	j.started = true
	j.target = id
	at, ok := d.locate(id)
	if !ok {
		j.started = false
		d.finish(j, peer.Finished{Kind: errkind.NoTarget})
		return
	}
	d.Observer.Dispatched(j.row.Service, j.row.Tier, d.Clock.Now().Sub(j.row.Arrived))
	j.notify(peer.NotifyStarted, peer.Started{ID: j.msg.ID, Target: id})
	ctx, span := d.Tracer.Start(j.ctx, "target", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(observe.AttributeTarget.String(string(id))))
	run := d.runModel
	if j.msg.Plain {
		run = d.runPlain
	}
	d.spawn(func() {
		defer span.End()
		run(ctx, j, at)
	})
}

// abandoned reports whether the gate may already have settled j as not run,
// because the dispatcher was out of its reach for too long.
func (d *Dispatcher) abandoned(j *job) bool {
	return !j.orphaned.IsZero() && d.Clock.Now().Sub(j.orphaned) >= settle.SendLease
}

// spawn runs f beside the owning goroutine; Run waits for it at the end.
func (d *Dispatcher) spawn(f func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		f()
	}()
}

// trace starts the span of j in the trace of its gate.
func (d *Dispatcher) trace(j *job) {
	ctx := otel.GetTextMapPropagator().Extract(d.ctx, propagation.MapCarrier(j.msg.Trace))
	j.ctx, j.span = d.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		observe.AttributeRequest.String(string(j.msg.ID)),
		observe.AttributeTier.Int(j.msg.Tier),
	))
	j.traceID = j.span.SpanContext().TraceID().String()
}

// endTrace ends the span of j with its outcome.
func (d *Dispatcher) endTrace(j *job, kind errkind.Kind) {
	if j.row.Started.IsZero() {
		j.span.SetAttributes(observe.AttributeQueueMillis.Int64(d.Clock.Now().Sub(j.row.Arrived).Milliseconds()))
	} else {
		j.span.SetAttributes(observe.AttributeQueueMillis.Int64(j.row.Started.Sub(j.row.Arrived).Milliseconds()))
	}
	j.span.SetAttributes(observe.AttributeKind.String(string(kind)))
	j.span.End()
}

// runModel sends a generation once and follows its answer.
func (d *Dispatcher) runModel(ctx context.Context, j *job, at place) {
	engine := d.Targets.Engine(at.address)
	stream, err := d.open(ctx, func(ctx context.Context) (target.Stream, error) {
		return engine.Generate(ctx, target.Generation{
			ID: j.msg.ID, Model: j.msg.Model, Adapter: j.msg.Adapter,
			Prompt: string(j.msg.Body), MaxTokens: j.msg.MaxTokens,
		})
	})
	switch {
	case err == nil:
		d.followStream(j, engine, stream)
	case errors.Is(err, target.ErrNotAdmitted):
		d.refused(j, err)
	default:
		d.settleSend(j, engine, err)
	}
}

// refused ends j after proof that the target never runs it.
func (d *Dispatcher) refused(j *job, cause error) {
	d.post(func() {
		d.markDown(j.target)
		d.finish(j, peer.Finished{Kind: errkind.NotAdmitted, Detail: cause.Error()})
	})
}

// settleSend finds out what became of a send whose answer was lost. It never
// sends again: it asks for the stream, and failing that leaves a tombstone.
func (d *Dispatcher) settleSend(j *job, engine target.Engine, cause error) {
	stream, err := d.resume(engine, j.msg.ID, 0)
	if err == nil {
		d.followStream(j, engine, stream)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	progress, err := engine.Cancel(ctx, j.msg.ID)
	if err != nil {
		progress = target.NotKnown
	}
	d.post(func() {
		if progress == target.NotKnown {
			d.crashed(j.target)
		}
		d.finish(j, peer.Finished{Kind: settledKind(progress), Detail: cause.Error(), Sent: true})
	})
}

// settledKind is the outcome that a target's word after a lost send proves.
func settledKind(p target.Progress) errkind.Kind {
	switch p {
	case target.NeverStarted:
		return errkind.NotAdmitted
	case target.InProgress, target.Cancelled, target.Failed, target.Completed:
		return errkind.RanFailed
	case target.NotKnown:
	}
	return errkind.OutcomeUnknown
}

// follow continues an adopted job beside the owning goroutine.
func (d *Dispatcher) follow(j *job, at place, stream *openStream) {
	d.spawn(func() { d.followStream(j, d.Targets.Engine(at.address), stream) })
}

// followStream reads an answer to its end and resumes it on a new connection
// whenever the current one fails or falls silent.
func (d *Dispatcher) followStream(j *job, engine target.Engine, stream *openStream) {
	for {
		err := d.readChunks(j, stream)
		stream.drop()
		if err == nil || d.ctx.Err() != nil {
			return
		}
		if errors.Is(err, target.ErrFailed) {
			d.failed(j, err)
			return
		}
		event.StreamSilent.Log(d.Logger, zap.String("request", string(j.msg.ID)), zap.Error(err))
		stream = d.resumeAt(j, engine)
		if stream == nil {
			return
		}
	}
}

// readChunks posts chunks until the final one. It returns nil when the job has
// an outcome, or the error of the stream.
func (d *Dispatcher) readChunks(j *job, stream *openStream) error {
	defer func() { _ = stream.Close() }()
	for {
		c, err := d.nextChunk(stream)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		ended := make(chan bool, 1)
		d.post(func() { ended <- d.takeChunk(j, c) })
		select {
		case done := <-ended:
			if done {
				return nil
			}
		case <-d.ctx.Done():
			return nil
		}
	}
}

// takeChunk adds c and reports whether j has an outcome now.
func (d *Dispatcher) takeChunk(j *job, c target.Chunk) bool {
	d.addChunk(j, c)
	if c.Final && j.outcome == nil && c.Offset+c.Tokens == j.tokens {
		d.finish(j, peer.Finished{Kind: errkind.None, Sent: true})
	}
	return j.outcome != nil
}

func (d *Dispatcher) nextChunk(stream *openStream) (target.Chunk, error) {
	ctx, cancel := context.WithTimeout(d.ctx, streamSilence)
	defer cancel()
	return stream.Next(ctx)
}

func (d *Dispatcher) failed(j *job, cause error) {
	d.post(func() {
		kind := errkind.RanFailed
		if j.reason != errkind.None {
			kind = j.reason
		}
		d.finish(j, peer.Finished{Kind: kind, Detail: cause.Error(), Sent: true})
	})
}

// resumeAt asks for the rest of the answer on new connections. It returns nil
// after it has ended the job, because the target cannot tell any more.
func (d *Dispatcher) resumeAt(j *job, engine target.Engine) *openStream {
	offset, err := ask(d.ctx, d, func() int {
		if j.outcome != nil {
			return -1
		}
		return j.tokens
	})
	if err != nil || offset < 0 {
		return nil
	}
	stream, err := backoff.Retry(d.ctx, func() (*openStream, error) {
		s, err := d.resume(engine, j.msg.ID, offset)
		if errors.Is(err, target.ErrNotAdmitted) && !isRefusedDial(err) {
			return nil, backoff.Permanent(err)
		}
		return s, err
	}, backoff.WithBackOff(resumeBackOff()), backoff.WithMaxTries(resumeAttempts))
	if err != nil {
		d.abandon(j, err)
		return nil
	}
	event.StreamResumed.Log(d.Logger, zap.String("request", string(j.msg.ID)), zap.Int("offset", offset))
	return stream
}

func resumeBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = resumeFirst
	b.MaxInterval = resumeLongest
	return b
}

// abandon ends a job whose target ran it and can no longer be asked.
func (d *Dispatcher) abandon(j *job, cause error) {
	d.post(func() {
		if j.outcome != nil {
			return
		}
		d.crashed(j.target)
		kind := errkind.OutcomeUnknown
		if j.tokens > 0 {
			kind = errkind.RanFailed
		}
		d.finish(j, peer.Finished{Kind: kind, Detail: cause.Error(), Sent: true})
	})
}

// resume opens the stream of a dispatch at a token offset on a new connection.
func (d *Dispatcher) resume(engine target.Engine, id tables.RequestID, offset int) (*openStream, error) {
	return d.open(d.ctx, func(ctx context.Context) (target.Stream, error) {
		return engine.Resume(ctx, id, offset)
	})
}

// open starts a stream and bounds the wait for its first byte; the stream
// itself lives until its connection is dropped.
func (d *Dispatcher) open(ctx context.Context, dial func(context.Context) (target.Stream, error)) (*openStream, error) {
	ctx, drop := context.WithCancel(ctx)
	timer := time.AfterFunc(targetTimeout, drop)
	stream, err := dial(ctx)
	if err != nil {
		drop()
		return nil, err
	}
	if !timer.Stop() {
		drop()
		return nil, context.DeadlineExceeded
	}
	return &openStream{Stream: stream, drop: drop}, nil
}
