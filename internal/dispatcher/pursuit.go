package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Pauses between questions to a target.
const (
	pauseFirst   = 50 * time.Millisecond
	pauseLongest = 1 * time.Second
	// outcomePoll is the time between questions about a call that still runs.
	outcomePoll = 200 * time.Millisecond
)

// pursuit finds the outcome of a request that was sent, through whatever
// happens to its connections. It never sends the request again.
type pursuit struct {
	d     *Dispatcher
	j     *job
	at    place
	facts *settle.Facts
	pause *backoff.ExponentialBackOff
	// cause is the latest failure, for the outcome's detail.
	cause error
	// crash is set when the target refused a connection or forgot the request.
	crash bool
}

func (d *Dispatcher) newPursuit(j *job, at place) *pursuit {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = pauseFirst
	pause.MaxInterval = pauseLongest
	return &pursuit{
		d: d, j: j, at: at, pause: pause,
		facts: &settle.Facts{
			Plain: j.msg.Plain, MayBeSent: true, SenderStopped: true,
			Allowed: []tables.TargetID{j.target}, Started: j.target,
		},
	}
}

// run takes the job to its outcome.
func (p *pursuit) run() {
	for p.refresh() {
		step := settle.Next(p.facts)
		if step.Action == settle.Finish {
			p.finish(step.Kind)
			return
		}
		p.carryOut(step)
	}
}

// refresh reads the progress of the job and reports whether it is still open.
func (p *pursuit) refresh() bool {
	open, err := ask(p.d.ctx, p.d, func() bool {
		p.facts.Offset = p.j.tokens
		p.facts.CallerLeft = p.j.reason == errkind.CancelledWhileRun
		return p.j.outcome == nil
	})
	return open && err == nil
}

func (p *pursuit) carryOut(step settle.Step) {
	switch step.Action {
	case settle.Resume:
		p.resume(step.Offset)
	case settle.Cancel:
		p.cancel()
	case settle.Fetch:
		p.fetch()
	case settle.Wait, settle.Finish:
	}
}

// read follows a stream and notes what its end tells.
func (p *pursuit) read(stream *openStream) {
	p.facts.Heard(p.j.target, target.InProgress)
	err := p.d.readChunks(p.j, stream)
	if err == nil {
		return
	}
	p.cause = err
	if errors.Is(err, target.ErrFailed) {
		p.facts.Heard(p.j.target, target.Failed)
		return
	}
	event.StreamSilent.Log(p.d.Logger, zap.String("request", string(p.j.msg.ID)), zap.Error(err))
}

func (p *pursuit) resume(offset int) {
	stream, err := p.d.resume(p.d.Targets.Engine(p.at.address), p.j.msg.ID, offset)
	switch {
	case err == nil:
		event.StreamResumed.Log(p.d.Logger, zap.String("request", string(p.j.msg.ID)), zap.Int("offset", offset))
		p.pause.Reset()
		p.read(stream)
	case errors.Is(err, target.ErrNotAdmitted) && !isRefusedDial(err):
		p.cause = err
		p.crash = p.crash || p.facts.Account(p.j.target).Progress == target.InProgress
		p.facts.HeardNoStream(p.j.target)
	case errors.Is(err, target.ErrFailed):
		p.cause = err
		p.facts.Heard(p.j.target, target.Failed)
	default:
		p.noAnswer(err)
	}
}

// cancel leaves a tombstone, so that "never started" stays true.
func (p *pursuit) cancel() {
	ctx, done := context.WithTimeout(p.d.ctx, targetTimeout)
	defer done()
	var progress target.Progress
	var err error
	if p.at.plain {
		progress, err = p.d.Targets.Plain(p.at.address, p.at.service).Cancel(ctx, p.j.msg.ID)
	} else {
		progress, err = p.d.Targets.Engine(p.at.address).Cancel(ctx, p.j.msg.ID)
	}
	if err != nil {
		p.noAnswer(err)
		return
	}
	p.crash = p.crash || progress == target.NotKnown
	p.facts.Heard(p.j.target, progress)
}

// fetch asks for the answer of a call that runs or ran.
func (p *pursuit) fetch() {
	ctx, done := context.WithTimeout(p.d.ctx, targetTimeout)
	defer done()
	answer, progress, err := p.d.Targets.Plain(p.at.address, p.at.service).Outcome(ctx, p.j.msg.ID)
	switch {
	case err != nil:
		p.noAnswer(err)
	case progress == target.Completed && answer.Status != 0:
		p.d.answered(p.j, answer)
		p.facts.Whole = true
	case progress == target.Completed:
		p.facts.HeardNotKept(p.j.target)
	default:
		p.facts.Heard(p.j.target, progress)
		p.wait(outcomePoll)
	}
}

func (p *pursuit) noAnswer(err error) {
	p.cause = err
	p.crash = p.crash || isRefusedDial(err)
	p.facts.HeardNothing(p.j.target)
	p.wait(p.pause.NextBackOff())
}

func (p *pursuit) wait(d time.Duration) {
	select {
	case <-p.d.Clock.After(d):
	case <-p.d.ctx.Done():
	}
}

// finish ends the job. A target that lost a running request has crashed.
func (p *pursuit) finish(kind errkind.Kind) {
	if kind == errkind.None {
		return
	}
	detail := ""
	if p.cause != nil {
		detail = p.cause.Error()
	}
	if p.crash {
		p.warn()
	}
	p.d.post(func() {
		if p.j.reason != errkind.None && kind == errkind.RanFailed {
			kind = p.j.reason
		}
		p.d.finish(p.j, peer.Finished{Kind: kind, Detail: detail, Sent: true})
	})
}

// warnTimeout bounds the wait for peers that do not answer.
const warnTimeout = 200 * time.Millisecond

// warn tells the peers which content the target ran when it crashed. It comes
// before the caller is told the end, because the caller may send the content
// again to another host at once.
func (p *pursuit) warn() {
	warned, err := ask(p.d.ctx, p.d, func() <-chan struct{} { return p.d.crashed(p.j) })
	if err != nil || warned == nil {
		return
	}
	select {
	case <-warned:
	case <-p.d.Clock.After(warnTimeout):
	case <-p.d.ctx.Done():
	}
}
