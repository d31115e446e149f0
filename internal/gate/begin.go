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
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// claimTimeout bounds the wait for the home of a key.
	claimTimeout = 5 * time.Second
	// claimTries bounds the claims for a key that becomes free again and again.
	claimTries = 3
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
	f := newFlight(g, adm)
	g.register(f)
	go g.drive(f, adm.pick)
	return f
}

// beginKeyed claims the key of a request, or joins the request that holds it.
func (g *Gate) beginKeyed(ctx context.Context, adm admitted) (*flight, error) {
	f, result, err := g.claim(ctx, adm)
	for tries := 1; result.Freed && tries < claimTries; tries++ {
		adm.msg.ID = tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7()))
		f, result, err = g.claim(ctx, adm)
	}
	g.Observer.Claimed(result.Won, errkind.Of(err))
	if err != nil {
		return nil, err
	}
	if result.Won {
		go g.driveKeyed(f, adm)
		return f, nil
	}
	event.ClaimLost.Log(g.Logger, zap.String("request", string(adm.msg.ID)), zap.String("holder", string(result.Holder)))
	return g.joinHolder(adm, result), nil
}

// claim asks for the key of a request. Its flight is open from before the
// question, because a repeat at this gate may learn that the request holds the
// key before the answer is here, and joins it then. The flight of a request that
// did not win has ended as not run.
func (g *Gate) claim(ctx context.Context, adm admitted) (*flight, peer.AcquireResult, error) {
	f := newFlight(g, adm)
	g.register(f)
	result, err := g.acquire(ctx, adm)
	if err == nil && result.Won {
		return f, result, nil
	}
	end := peer.Finished{Kind: errkind.NotAdmitted, Detail: "the request did not win its key"}
	if err != nil {
		end.Kind = errkind.Of(err)
		end.Detail = err.Error()
	}
	f.finish(end)
	g.forget(f)
	return f, result, err
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
		Fingerprint: msg.Fingerprint, Lifetime: adm.lifetime, TargetsDigest: adm.claimed.digest(),
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

// claimHome connects to the home of a key. When it is out of reach another host
// stands in: a home only saves reads and appends, the log decides.
func (g *Gate) claimHome(ctx context.Context, msg peer.Submit) (*peer.Conn, error) {
	if claim.IsMinted(msg.Key) {
		return g.minter(ctx, msg.Key)
	}
	shard := shardOf(msg, g.ClaimShards)
	home := g.Membership.ClaimHome(shard)
	address, ok := g.address(home)
	if ok {
		if conn, err := g.Peers.Get(ctx, address); err == nil {
			return conn, nil
		}
		g.Membership.Suspect(home)
	}
	if conn := g.helper(home, msg.ID, shard); conn != nil {
		return conn, nil
	}
	return nil, fmt.Errorf("neither host %q, home of claim shard %d, nor another one answers", home, shard)
}

// driveKeyed drives the request that won its key and records a proof of "not
// run", so that the key is free again.
func (g *Gate) driveKeyed(f *flight, adm admitted) {
	g.drive(f, adm.pick)
	g.recordEnd(f)
}

// recordEnd records the outcome of a keyed request that no dispatcher records: a
// proof of "not run", and what the gate found out at the targets.
func (g *Gate) recordEnd(f *flight) {
	end := f.since(0).outcome
	switch {
	case end == nil:
	case end.Kind.Answer().Ran == errkind.RanNo:
		g.release(f.msg, end.Kind)
	case f.settled && end.Kind.Answer().Ran == errkind.RanYes:
		g.record(f.msg, f.known())
	}
}

// release tells the home of a key that a request was not and will not be
// dispatched, which frees the key if the request holds it.
func (g *Gate) release(msg peer.Submit, kind errkind.Kind) {
	g.record(msg, peer.Outcome{ID: msg.ID, Known: true, Done: true, Kind: kind})
}

// record tells the home of a key the outcome of a request.
func (g *Gate) record(msg peer.Submit, o peer.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), recordTimeout)
	defer cancel()
	conn, err := g.claimHome(ctx, msg)
	if err != nil {
		return
	}
	_ = conn.Call(ctx, peer.MethodRecord, peer.Record{
		Customer: msg.Customer, Service: msg.Service, Key: msg.Key, Outcome: o,
	}, nil)
}

// shardOf returns the claim shard of a key that admission has checked.
func shardOf(msg peer.Submit, shards int) int {
	key, err := claim.ParseKey(msg.Customer, msg.Service, msg.Key)
	if err != nil {
		return 0
	}
	return key.Shard(shards)
}
