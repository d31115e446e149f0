package dispatcher

import (
	"context"
	"errors"
	"fmt"
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

// streamStallTimeout is the time without a chunk after which the connection of an
// answer stream is dropped and the stream is resumed on a new one. It is also the
// time without an answer after which a plain service is queried on a new
// connection.
const streamStallTimeout = 2 * time.Second

// unknownDispatchDelay is the time after which a target is asked again about a
// request that it did not know. A target that was silent may answer the first query
// before it reads the request, which arrived earlier on another connection.
const unknownDispatchDelay = 200 * time.Millisecond

// openStream is an answer stream and the function that closes its connection.
type openStream struct {
	target.Stream
	closeConn context.CancelFunc
}

// start sends j to target id in a new goroutine. It runs in the event loop.
func (d *Dispatcher) start(j *job, id tables.TargetID) {
	permit := d.permit(j)
	if !permit() {
		d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: "the gate of the request is gone, or its time is over"})
		return
	}
	ep, ok := d.findEndpoint(id)
	if address, known := j.msg.Addresses[id]; !ok || known && address != ep.address {
		d.finish(j, peer.Finished{Kind: errkind.NoTarget})
		return
	}
	j.started = true
	j.target = id
	j.endpoint = ep
	d.Observer.Dispatched(j.request.Service, j.request.Tier, d.Clock.Now().Sub(j.request.Arrived))
	j.notify(peer.NotifyStarted, peer.Started{ID: j.msg.ID, Target: id})
	ctx, span := d.Tracer.Start(httpcall.WithPermit(j.ctx, permit), "target", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(observe.AttributeTarget.String(string(id))))
	run := d.runModel
	if j.msg.Plain {
		run = d.runPlain
	}
	d.spawn(func() {
		defer span.End()
		run(ctx, j)
	})
}

// permit returns a function that reports whether j may still be sent: a gate that
// listens to j must have answered a ping that was sent within the last
// settle.SendLease, because a gate that lost contact with this dispatcher for
// longer may have resolved the outcome of j as not run. A message received from
// the gate is no proof of contact, since it may have waited in a buffer while
// this process was paused. A keyed request must also be sent before its SendBy,
// because other hosts may resolve its outcome after that. The function is called
// by the goroutine that sends the request.
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

// spawn runs f in a new goroutine, which Run waits for before it returns.
func (d *Dispatcher) spawn(f func()) {
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		f()
	}()
}

// startTrace starts the span of j, as a child of the gate's span.
func (d *Dispatcher) startTrace(j *job) {
	ctx := otel.GetTextMapPropagator().Extract(d.ctx, propagation.MapCarrier(j.msg.Trace))
	j.ctx, j.span = d.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		observe.AttributeRequest.String(string(j.msg.ID)),
		observe.AttributeTier.Int(j.msg.Tier),
	))
	j.traceID = j.span.SpanContext().TraceID().String()
}

// endTrace ends the span of j and sets its time in the queue and its outcome.
func (d *Dispatcher) endTrace(j *job, kind errkind.Kind) {
	if j.request.Started.IsZero() {
		j.span.SetAttributes(observe.AttributeQueueMillis.Int64(d.Clock.Now().Sub(j.request.Arrived).Milliseconds()))
	} else {
		j.span.SetAttributes(observe.AttributeQueueMillis.Int64(j.request.Started.Sub(j.request.Arrived).Milliseconds()))
	}
	j.span.SetAttributes(observe.AttributeKind.String(string(kind)))
	j.span.End()
}

// runModel sends a generation request once and reads its answer.
func (d *Dispatcher) runModel(ctx context.Context, j *job) {
	engine := d.Targets.Engine(j.endpoint.address)
	stream, err := d.open(ctx, func(ctx context.Context) (target.Stream, error) {
		return engine.Generate(ctx, target.Generation{
			ID: j.msg.ID, Model: j.msg.Model, Adapter: j.msg.Adapter,
			Prompt: string(j.msg.Body), MaxTokens: j.msg.MaxTokens,
		})
	})
	if errors.Is(err, target.ErrNotAdmitted) {
		d.finishNotAdmitted(j, err)
		return
	}
	r := d.newResolver(j)
	if err == nil {
		_ = r.readStream(stream) // not a query, so it does not count as a failed one
	} else {
		r.lastErr = err
	}
	r.run()
}

// finishNotAdmitted ends j after an error which proves that the target has not
// run the request and never will.
func (d *Dispatcher) finishNotAdmitted(j *job, cause error) {
	d.post(func() {
		if errors.Is(cause, httpcall.ErrNotPermitted) {
			d.finish(j, peer.Finished{Kind: errkind.CancelledBeforeRun, Detail: cause.Error()})
			return
		}
		if isConnectionRefused(cause) {
			d.markDown(j.target)
		}
		if isDialError(cause) {
			d.reach.recordFailure(d.Clock.Now())
		}
		d.withhold(j, cause)
		d.finish(j, peer.Finished{Kind: errkind.NotAdmitted, Detail: cause.Error()})
	})
}

// readChunks reads the stream until j has an outcome, and adds each chunk to j.
// It returns nil if j has an outcome, and the error of the stream otherwise.
func (d *Dispatcher) readChunks(j *job, stream *openStream) error {
	defer stream.closeConn()
	defer func() { _ = stream.Close() }()
	for {
		c, err := d.nextChunk(stream)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		ended, err := callInLoop(d.ctx, d, func() bool { return d.handleChunk(j, c) })
		if ended || err != nil {
			return err
		}
	}
}

// handleChunk adds c to j and reports whether j has an outcome.
func (d *Dispatcher) handleChunk(j *job, c target.Chunk) bool {
	d.reach.recordAnswer(d.Clock.Now())
	d.addChunk(j, c)
	if j.outcome == nil && j.received.CompletedBy(c) {
		d.finish(j, peer.Finished{Kind: errkind.None, Sent: true})
	}
	return j.outcome != nil
}

// errStalled is wrapped by the error of a stream without a chunk for
// streamStallTimeout.
var errStalled = errors.New("stream stalled")

func (d *Dispatcher) nextChunk(stream *openStream) (target.Chunk, error) {
	ctx, cancel := context.WithTimeout(d.ctx, streamStallTimeout)
	defer cancel()
	c, err := stream.Next(ctx)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errStalled, err)
	}
	return c, err
}

// resume continues the stream of a dispatch from a token offset on a new
// connection. Before the first token it asks twice whether the engine knows the
// dispatch.
func (d *Dispatcher) resume(engine target.Engine, id tables.RequestID, offset int) (*openStream, error) {
	stream, err := d.resumeOnce(engine, id, offset)
	if offset > 0 || !errors.Is(err, target.ErrNotAdmitted) {
		return stream, err
	}
	d.sleep(unknownDispatchDelay)
	return d.resumeOnce(engine, id, offset)
}

func (d *Dispatcher) resumeOnce(engine target.Engine, id tables.RequestID, offset int) (*openStream, error) {
	return d.open(d.ctx, func(ctx context.Context) (target.Stream, error) {
		return engine.Resume(ctx, id, offset)
	})
}

// sleep waits for a time, or until the dispatcher's context ends.
func (d *Dispatcher) sleep(t time.Duration) {
	select {
	case <-d.Clock.After(t):
	case <-d.ctx.Done():
	}
}

// open opens a stream with dial, which must return within targetTimeout. The
// stream stays open until its connection is closed.
func (d *Dispatcher) open(ctx context.Context, dial func(context.Context) (target.Stream, error)) (*openStream, error) {
	ctx, closeConn := context.WithCancel(ctx)
	timer := time.AfterFunc(targetTimeout, closeConn)
	stream, err := dial(ctx)
	if err != nil {
		closeConn()
		return nil, err
	}
	if !timer.Stop() {
		closeConn()
		return nil, context.DeadlineExceeded
	}
	return &openStream{Stream: stream, closeConn: closeConn}, nil
}
