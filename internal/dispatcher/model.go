package dispatcher

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// streamSilence is the time without progress after which a stream is resumed
// on a new connection.
const streamSilence = 2 * time.Second

// openStream is an answer stream with the function that drops its connection.
type openStream struct {
	target.Stream
	drop context.CancelFunc
}

// start hands j to the adapter of its target. It runs on the owning goroutine.
func (d *Dispatcher) start(j *job, id tables.TargetID) {
	permit := d.permit(j)
	if !permit() {
		d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: "the gate of the request is gone, or its time is over"})
		return
	}
	at, ok := d.locate(id)
	if claimed, keyed := j.msg.Addresses[id]; !ok || keyed && claimed != at.address {
		d.finish(j, peer.Finished{Kind: errkind.NoTarget})
		return
	}
	j.started = true
	j.target = id
	d.Observer.Dispatched(j.row.Service, j.row.Tier, d.Clock.Now().Sub(j.row.Arrived))
	j.notify(peer.NotifyStarted, peer.Started{ID: j.msg.ID, Target: id})
	ctx, span := d.Tracer.Start(httpcall.WithPermit(j.ctx, permit), "target", trace.WithSpanKind(trace.SpanKindClient),
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

// permit returns whether j may still be sent: its gate has answered a ping that
// was sent within the send lease, so that it cannot have settled j as not run.
// What was merely read lately may have waited in a buffer while this process
// was paused. A keyed request may be sent until its SendBy alone, after which
// others may settle it. It is called from the goroutine that sends.
func (d *Dispatcher) permit(j *job) func() bool {
	conns := slices.Collect(maps.Keys(j.listeners))
	return func() bool {
		if j.msg.Key != "" && !d.Clock.Now().Before(j.msg.SendBy) {
			return false
		}
		oldest := d.Clock.Now().Add(-settle.SendLease)
		return slices.ContainsFunc(conns, func(c *peer.Conn) bool { return c.LastAnsweredPing().After(oldest) })
	}
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
	if errors.Is(err, target.ErrNotAdmitted) {
		d.refused(j, err)
		return
	}
	s := d.newSettler(j, at)
	if err == nil {
		s.read(stream)
	} else {
		s.cause = err
	}
	s.run()
}

// refused ends j after proof that the target never runs it.
func (d *Dispatcher) refused(j *job, cause error) {
	d.post(func() {
		if errors.Is(cause, httpcall.ErrNotPermitted) {
			d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: cause.Error()})
			return
		}
		if isRefusedDial(cause) {
			d.markDown(j.target)
		}
		d.withhold(j, cause)
		d.finish(j, peer.Finished{Kind: errkind.NotAdmitted, Detail: cause.Error()})
	})
}

// readChunks posts chunks until the final one. It returns nil when the job has
// an outcome, or the error of the stream.
func (d *Dispatcher) readChunks(j *job, stream *openStream) error {
	defer stream.drop()
	defer func() { _ = stream.Close() }()
	for {
		c, err := d.nextChunk(stream)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		ended, err := ask(d.ctx, d, func() bool { return d.takeChunk(j, c) })
		if ended || err != nil {
			return err
		}
	}
}

// takeChunk adds c and reports whether j has an outcome now.
func (d *Dispatcher) takeChunk(j *job, c target.Chunk) bool {
	d.addChunk(j, c)
	if j.outcome == nil && j.parts.CompletedBy(c) {
		d.finish(j, peer.Finished{Kind: errkind.None, Sent: true})
	}
	return j.outcome != nil
}

func (d *Dispatcher) nextChunk(stream *openStream) (target.Chunk, error) {
	ctx, cancel := context.WithTimeout(d.ctx, streamSilence)
	defer cancel()
	return stream.Next(ctx)
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
