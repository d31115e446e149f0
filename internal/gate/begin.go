package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// claimTimeout bounds the wait for the home of a key.
	claimTimeout = 5 * time.Second
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 10 * time.Second
)

// begin starts a request, or joins the request that holds its key. The flight that it
// returns has the answer.
func (g *Gate) begin(ctx context.Context, adm admitted) (*flight, error) {
	if adm.msg.Key == "" {
		return g.launch(adm), nil
	}
	return g.beginKeyed(ctx, adm)
}

// launch opens a flight and drives it.
func (g *Gate) launch(adm admitted) *flight {
	f := newFlight(g, adm.msg)
	g.register(f)
	go g.drive(f, adm.pick)
	return f
}

// Bounds on joining a request that holds a key and is not found yet.
const (
	joinPause = 100 * time.Millisecond
	// joinFor covers the time from a claim to the arrival of its request at a
	// dispatcher.
	joinFor = 3 * time.Second
)

// beginKeyed claims the key of a request, or joins the request that holds it.
// A holder that no host knows may still be on its way to a dispatcher, or its
// outcome to the log, so that both are asked again for a while.
func (g *Gate) beginKeyed(ctx context.Context, adm admitted) (*flight, error) {
	deadline := g.Clock.Now().Add(joinFor)
	for {
		result, err := g.acquire(ctx, adm)
		g.Observer.Claimed(result.Won, errkind.Of(err))
		if err != nil {
			return nil, err
		}
		if result.Won {
			return g.launchKeyed(adm), nil
		}
		f, err := g.joinHolder(ctx, adm.msg, result)
		if err == nil || !g.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return f, err
		}
		g.pauseUntil(g.Clock.Now().Add(joinPause))
		adm.msg.ID = tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7()))
	}
}

// acquire asks the home of the key for the right to dispatch. No error of it
// lets the request run.
func (g *Gate) acquire(ctx context.Context, adm admitted) (peer.AcquireResult, error) {
	msg := adm.msg
	var result peer.AcquireResult
	conn, err := g.claimHome(ctx, msg)
	if err != nil {
		return result, errkind.Wrap(err, errkind.ClaimsUnavailable, "the home of the key is out of reach")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err = conn.Call(ctx, peer.MethodAcquire, peer.Acquire{
		Customer: msg.Customer, Service: msg.Service, Key: msg.Key, Request: msg.ID,
		Fingerprint: msg.Fingerprint, Lifetime: adm.lifetime, TargetsDigest: claim.TargetsDigest(targetsOf(adm.pick())),
	}, &result)
	if err != nil {
		go g.release(msg, errkind.ClaimsUnavailable)
		return result, errkind.Wrap(err, errkind.ClaimsUnavailable, "the home of the key did not answer")
	}
	if result.Kind != errkind.None {
		return result, &errkind.Error{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter}
	}
	return result, nil
}

func (g *Gate) claimHome(ctx context.Context, msg peer.Submit) (*peer.Conn, error) {
	shard := shardOf(msg, g.ClaimShards)
	home := g.Membership.ClaimHome(shard)
	address, ok := g.address(home)
	if !ok {
		return nil, fmt.Errorf("host %q, home of claim shard %d, has no address", home, shard)
	}
	return g.Peers.Get(ctx, address)
}

func targetsOf(choices []route.Choice) []tables.TargetID {
	var out []tables.TargetID
	for _, c := range choices {
		out = append(out, c.Targets...)
	}
	return out
}

// launchKeyed drives the request that won its key and records a proof of "not
// run", so that the key is free again.
func (g *Gate) launchKeyed(adm admitted) *flight {
	f := newFlight(g, adm.msg)
	g.register(f)
	go func() {
		g.drive(f, adm.pick)
		g.recordRefusal(f)
	}()
	return f
}

func (g *Gate) recordRefusal(f *flight) {
	end := f.since(0).outcome
	if end != nil && end.Kind.Answer().Ran == errkind.RanNo {
		g.release(f.msg, end.Kind)
	}
}

// release tells the home of a key that a request was not and will not be
// dispatched, which frees the key if the request holds it.
func (g *Gate) release(msg peer.Submit, kind errkind.Kind) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), recordTimeout)
	defer cancel()
	conn, err := g.claimHome(ctx, msg)
	if err != nil {
		return
	}
	_ = conn.Call(ctx, peer.MethodRecord, peer.Record{
		Customer: msg.Customer, Service: msg.Service, Key: msg.Key,
		Outcome: peer.Outcome{ID: msg.ID, Known: true, Done: true, Kind: kind},
	}, nil)
}

// joinHolder returns the flight of the request that holds the key: the one of
// this gate, the recorded outcome, or the stream of its dispatcher.
func (g *Gate) joinHolder(ctx context.Context, msg peer.Submit, result peer.AcquireResult) (*flight, error) {
	event.ClaimLost.Log(g.Logger, zap.String("request", string(msg.ID)), zap.String("holder", string(result.Holder)))
	if f := g.find(result.Holder); f != nil {
		return f, nil
	}
	f := newFlight(g, msg)
	f.id = result.Holder
	if o := result.Outcome; o != nil && o.Done && (o.BodyKept || o.Kind != errkind.None) {
		f.setOutcome(*o)
		return f, nil
	}
	return g.joinStream(ctx, f)
}

// joinStream attaches to the dispatcher that runs, or ran, the holder, or else
// to the holder's answer at a target.
func (g *Gate) joinStream(ctx context.Context, f *flight) (*flight, error) {
	f.msg.ID = f.id
	if known := g.ask(ctx, peer.Lookup{ID: f.id}); known != nil {
		if conn, err := g.Peers.Get(ctx, known.host.PeerAddress); err == nil {
			return g.join(f, func() { g.driveJoined(f, conn) }), nil
		}
	}
	if joined := g.joinAtTarget(f); joined != nil {
		return joined, nil
	}
	return nil, errkind.New(errkind.OutcomeUnknown, fmt.Sprintf("request %s holds the key and no host knows its outcome", f.id))
}

// join drives f, unless another reader of the same request drives one already.
func (g *Gate) join(f *flight, drive func()) *flight {
	open := g.register(f)
	if open == f {
		go drive()
	}
	return open
}

// joinAtTarget asks the targets of the service for the holder's answer, for
// when every host that knew it is gone. It changes nothing at the targets and
// returns nil when none has the answer.
func (g *Gate) joinAtTarget(f *flight) *flight {
	if open := g.register(f); open != f {
		return open
	}
	for _, v := range g.views(g.Document(), string(f.msg.Service)) {
		conn := g.helper("", f.id, 0)
		if conn == nil {
			break
		}
		result, err := g.attach(f, conn, v.Target)
		if err == nil && result.Known {
			go g.driveAttached(f, conn)
			return f
		}
	}
	g.forget(f)
	f.finish(peer.Finished{Kind: errkind.OutcomeUnknown, Detail: "no target has the answer", Sent: true})
	return nil
}

func (g *Gate) driveJoined(f *flight, conn *peer.Conn) {
	defer g.unregister(f)
	if !g.attachAndFollow(f, conn, "") {
		f.finish(peer.Finished{Kind: errkind.OutcomeUnknown, Detail: "the dispatcher of the request was lost", Sent: true})
	}
}

func (g *Gate) driveAttached(f *flight, conn *peer.Conn) {
	defer g.unregister(f)
	var refusal peer.Finished
	switch g.follow(f, conn, &refusal) {
	case ended:
	case notSent:
		f.finish(refusal)
	case lost:
		f.finish(peer.Finished{Kind: errkind.OutcomeUnknown, Detail: "the answer of the request broke off", Sent: true})
	}
}

// setOutcome fills a flight from a recorded outcome.
func (f *flight) setOutcome(o peer.Outcome) {
	if len(o.Body) > 0 && !f.msg.Plain {
		f.onChunk(chunkOf(o))
	}
	f.finish(peer.Finished{Kind: o.Kind, Detail: o.Detail, Target: o.Target, Status: o.Status, Body: o.Body})
}

// shardOf returns the claim shard of a key that admission has checked.
func shardOf(msg peer.Submit, shards int) int {
	key, err := claim.ParseKey(msg.Customer, msg.Service, msg.Key)
	if err != nil {
		return 0
	}
	return key.Shard(shards)
}
