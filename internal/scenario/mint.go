package scenario

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// mint makes a host mint an idempotency key, which later commands refer to by
// name: "mint k1 at=h1".
func mint(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("key")
	if err != nil {
		return err
	}
	s.keys[name], err = s.harness.MintKey(ctx, a.option("at", ""), harness.MuseumKey)
	return err
}
