package scenario

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// mint gives the key of a name the text that a host makes for it.
func mint(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("key")
	if err != nil {
		return err
	}
	s.keys[name], err = s.h.MintKey(ctx, a.option("at", ""), harness.MuseumKey)
	return err
}
