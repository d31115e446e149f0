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

// MintKey makes a key that one host decides about without the log: this one, or
// another when the dispatcher of this one does not answer.
func (a api) MintKey(ctx context.Context) (*callers.MintedKey, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn := a.reachNamed(a.Host, a.Membership.Live())
	if conn == nil {
		conn = a.helper(a.Host, "", 0)
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

// minterFor is how long the host that made a key is waited for, since the
// membership table may not know it yet.
const minterFor = 2 * time.Second

// minter connects to the host that made a key. Nobody can stand in for it.
func (g *Gate) minter(ctx context.Context, key string) (*peer.Conn, error) {
	k, err := claim.ParseMinted(key)
	if err != nil {
		return nil, err
	}
	until := g.Clock.Now().Add(minterFor)
	for {
		conn, err := g.reachMinter(ctx, k.Host)
		now := g.Clock.Now()
		if err == nil || !now.Before(until) || ctx.Err() != nil {
			return conn, err
		}
		g.pauseUntil(now.Add(askPause))
	}
}

func (g *Gate) reachMinter(ctx context.Context, host tables.HostID) (*peer.Conn, error) {
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

// checkMinted refuses minted keys where an unknown outcome weighs too much: when
// the host of a key is lost, nobody can tell whether the request ran.
func checkMinted(nonIdempotent bool, a ask) error {
	if nonIdempotent {
		return errkind.New(errkind.KeyMalformed, fmt.Sprintf("operation %q of service %q takes no key that a host made", a.operation, a.service))
	}
	_, err := claim.ParseMinted(a.key)
	return err
}
