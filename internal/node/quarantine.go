package node

import (
	"context"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

type quarantine struct{}

func newQuarantine(*process) quarantine { return quarantine{} }

// Crashed implements dispatcher.Quarantine.
func (quarantine) Crashed(tables.TargetID, []dispatcher.Suspect) {}

// Check implements dispatcher.Quarantine.
func (quarantine) Check(tables.Fingerprint) (refused, alone bool) { return false, false }

// List implements operators.Quarantine.
func (quarantine) List() []peer.QuarantineEntry { return nil }

// Release implements operators.Quarantine.
func (quarantine) Release(_ context.Context, f tables.Fingerprint) error {
	return errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("fingerprint %016x", uint64(f)))
}
