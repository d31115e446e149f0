//go:build knownred

package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/scenario"
)

func TestKnownRedScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params(scripts+"/knownred"))
}
