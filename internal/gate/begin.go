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
	// claimTimeout limits a call to the home of a key.
	claimTimeout = 5 * time.Second
	// maxClaimAttempts limits the attempts to claim a key that was freed while
	// the claim was decided.
	maxClaimAttempts = 3
	// recordTimeout limits the time to record an outcome.
	recordTimeout = 10 * time.Second
)

// startOrJoin starts a request, or joins the request that holds its key. The
// answer is read from the returned state.
func (g *Gate) startOrJoin(ctx context.Context, adm admittedRequest) (*requestState, error) {
	if adm.msg.Key == "" {
		return g.startUnkeyed(adm), nil
	}
	return g.startOrJoinKeyed(ctx, adm)
}

// startUnkeyed registers a request without a key and dispatches it.
func (g *Gate) startUnkeyed(adm admittedRequest) *requestState {
	rs := newRequestState(g, adm)
	g.register(rs)
	go g.dispatch(rs, adm.pick)
	return rs
}

// startOrJoinKeyed claims the key of a request and dispatches the request, or
// joins the request that holds the key.
func (g *Gate) startOrJoinKeyed(ctx context.Context, adm admittedRequest) (*requestState, error) {
	rs, result, err := g.claimKey(ctx, adm)
	for attempt := 1; result.Freed && attempt < maxClaimAttempts; attempt++ {
		adm.msg.ID = tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7()))
		rs, result, err = g.claimKey(ctx, adm)
	}
	g.Observer.ClaimAttempted(result.Won, errkind.Of(err))
	if err != nil {
		return nil, err
	}
	if result.Won {
		go g.dispatchKeyed(rs, adm)
		return rs, nil
	}
	event.ClaimLost.Log(g.Logger, zap.String("request", string(adm.msg.ID)), zap.String("holder", string(result.Holder)))
	return g.joinHolder(adm, result), nil
}

// claimKey claims the key of a request at its home. The request is registered
// before the call: a retry at this gate may learn that the request holds the key
// before the response to this call arrives, and then joins it. If the request
// does not win the key, the returned state has an outcome that says the request
// did not run.
func (g *Gate) claimKey(ctx context.Context, adm admittedRequest) (*requestState, peer.AcquireResult, error) {
	rs := newRequestState(g, adm)
	g.register(rs)
	result, err := g.acquireKey(ctx, adm)
	if err == nil && result.Won {
		return rs, result, nil
	}
	outcome := peer.Finished{Kind: errkind.NotAdmitted, Detail: "the request did not win its key"}
	if err != nil {
		outcome.Kind = errkind.Of(err)
		outcome.Detail = err.Error()
	}
	rs.finish(outcome)
	g.removeActive(rs)
	return rs, result, err
}

// acquireKey requests the key of a request from its home. Only a result with Won
// set permits a dispatch. If the call fails, the key is released in the
// background, because the home may have granted it.
func (g *Gate) acquireKey(ctx context.Context, adm admittedRequest) (peer.AcquireResult, error) {
	msg := adm.msg
	var result peer.AcquireResult
	conn, err := g.connectClaimHome(ctx, msg)
	if err != nil {
		return result, errkind.Wrap(err, errkind.ClaimsUnavailable, "the home of the key is out of reach")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err = conn.Call(ctx, peer.MethodAcquire, peer.Acquire{
		Customer: msg.Customer, Service: msg.Service, Key: msg.Key, Request: msg.ID,
		Fingerprint: msg.Fingerprint, Lifetime: adm.keyLifetime, TargetsDigest: adm.targetsInClaim.digest(),
	}, &result)
	if err != nil {
		go g.releaseKey(msg, errkind.ClaimsUnavailable)
		return result, errkind.Wrap(err, errkind.ClaimsUnavailable, "the home of the key did not answer")
	}
	if result.Kind != errkind.None {
		return result, &errkind.Error{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter}
	}
	return result, nil
}

// connectClaimHome connects to the home of a key. For a minted key that is the
// host that minted it. For any other key, another host replaces a home that is
// unreachable: the log decides who holds a key, and a home only reduces the
// number of reads and appends.
func (g *Gate) connectClaimHome(ctx context.Context, msg peer.Submit) (*peer.Conn, error) {
	if claim.IsMinted(msg.Key) {
		return g.connectMinter(ctx, msg.Key)
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
	if conn := g.connectOther(home, msg.ID, shard); conn != nil {
		return conn, nil
	}
	return nil, fmt.Errorf("neither host %q, home of claim shard %d, nor another one answers", home, shard)
}

// dispatchKeyed dispatches a request that won its key and records the outcomes
// that no dispatcher records.
func (g *Gate) dispatchKeyed(rs *requestState, adm admittedRequest) {
	g.dispatch(rs, adm.pick)
	g.recordGateOutcome(rs)
}

// recordGateOutcome records the outcome of a keyed request in the two cases in which
// no dispatcher records it: the request did not run, which frees the key, or the
// targets that this gate queried reported that it ran.
func (g *Gate) recordGateOutcome(rs *requestState) {
	outcome := rs.snapshotFrom(0).outcome
	switch {
	case outcome == nil:
	case outcome.Kind.Answer().Ran == errkind.RanNo:
		g.releaseKey(rs.msg, outcome.Kind)
	case rs.resolvedAtTargets && outcome.Kind.Answer().Ran == errkind.RanYes:
		g.recordOutcome(rs.msg, rs.currentOutcome())
	}
}

// releaseKey reports to the home of the key in msg that the request in msg did not
// run and will not run. This frees the key if that request holds it.
func (g *Gate) releaseKey(msg peer.Submit, kind errkind.Kind) {
	g.recordOutcome(msg, peer.Outcome{ID: msg.ID, Known: true, Done: true, Kind: kind})
}

// recordOutcome reports the outcome of a request to the home of its key. Errors
// are ignored.
func (g *Gate) recordOutcome(msg peer.Submit, o peer.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), recordTimeout)
	defer cancel()
	conn, err := g.connectClaimHome(ctx, msg)
	if err != nil {
		return
	}
	_ = conn.Call(ctx, peer.MethodRecord, peer.Record{
		Customer: msg.Customer, Service: msg.Service, Key: msg.Key, Outcome: o,
	}, nil)
}

// shardOf returns the claim shard of a key that admission has validated.
func shardOf(msg peer.Submit, shards int) int {
	key, err := claim.ParseKey(msg.Customer, msg.Service, msg.Key)
	if err != nil {
		return 0
	}
	return key.Shard(shards)
}
