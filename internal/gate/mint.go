package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/api/callers"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// MintKey returns a new key, minted by the dispatcher of this gate's host, or by
// another dispatcher if that one cannot be reached. Only the host that minted the
// key decides its claims, without using the log.
func (a api) MintKey(ctx context.Context) (*callers.MintedKey, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn := a.connectHost(a.Host, a.Membership.Live())
	if conn == nil {
		conn = a.connectOther(a.Host, "", 0)
	}
	if conn == nil {
		return nil, errkind.New(errkind.ClaimsUnavailable, "no host that can make a key answers")
	}
	var minted peer.Minted
	if err := conn.Call(ctx, peer.MethodMint, struct{}{}, &minted); err != nil {
		return nil, errkind.Wrap(err, errkind.ClaimsUnavailable, "no key was made")
	}
	return &callers.MintedKey{Key: minted.Key}, nil
}

// minterWait is how long to wait for a connection to the host that minted a key.
// That host may be missing from the membership table for a short time.
const minterWait = 2 * time.Second

// connectMinter connects to the host that minted a key. No other host can decide
// the claims of that key.
func (g *Gate) connectMinter(ctx context.Context, key string) (*peer.Conn, error) {
	k, err := claim.ParseMinted(key)
	if err != nil {
		return nil, err
	}
	until := g.Clock.Now().Add(minterWait)
	for {
		conn, err := g.tryConnectMinter(ctx, k.Host)
		now := g.Clock.Now()
		if err == nil || !now.Before(until) || ctx.Err() != nil {
			return conn, err
		}
		g.sleepUntil(now.Add(initialQueryBackoff))
	}
}

func (g *Gate) tryConnectMinter(ctx context.Context, host tables.HostID) (*peer.Conn, error) {
	address, ok := g.address(host)
	if !ok {
		return nil, fmt.Errorf("host %q, which made the key, is not live", host)
	}
	conn, err := g.Peers.Get(ctx, address)
	if err != nil {
		g.Membership.Suspect(host)
		return nil, fmt.Errorf("host %q, which made the key, does not answer: %w", host, err)
	}
	return conn, nil
}

// checkMinted validates a minted key. It refuses minted keys for non-idempotent
// operations: if the host that minted the key is lost, no other host can tell
// whether the request ran.
func checkMinted(nonIdempotent bool, req callerRequest) error {
	if nonIdempotent {
		return errkind.New(errkind.KeyMalformed, fmt.Sprintf("operation %q of service %q takes no key that a host made", req.operation, req.service))
	}
	_, err := claim.ParseMinted(req.key)
	return err
}
