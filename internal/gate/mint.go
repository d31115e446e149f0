package gate

import (
	"context"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/api/callers"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
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

// minter connects to the host that made a key. Nobody can stand in for it.
func (g *Gate) minter(ctx context.Context, key string) (*peer.Conn, error) {
	k, err := claim.ParseMinted(key)
	if err != nil {
		return nil, err
	}
	address, ok := g.address(k.Host)
	if !ok {
		return nil, fmt.Errorf("host %q, which made the key, is not live", k.Host)
	}
	conn, err := g.Peers.Get(ctx, address)
	if err != nil {
		g.Membership.Suspect(k.Host)
		return nil, fmt.Errorf("host %q, which made the key, does not answer: %w", k.Host, err)
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
