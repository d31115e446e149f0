package harness

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// errTargetCut is the error of a call to a target by a host that is cut off from all.
var errTargetCut = fmt.Errorf("%w: %w", target.ErrNotAdmitted, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED})

// targetCut is the path between one host and the targets, which may be cut. New calls
// fail then as if connections were refused; calls in progress go on.
type targetCut struct{ cut atomic.Bool }

// CutOffTargets cuts the host off from all targets, or ends that.
func (n *Host) CutOffTargets(cut bool) { n.targets.cut.Store(cut) }

// cutTargets are the targets as a host reaches them that may be cut off.
type cutTargets struct {
	dispatcher.Targets
	path *targetCut
}

// Engine implements dispatcher.Targets.
func (t cutTargets) Engine(address string) target.Engine {
	return cutEngine{t.Targets.Engine(address), t.path}
}

// Plain implements dispatcher.Targets.
func (t cutTargets) Plain(address string, service tables.ServiceID) target.PlainService {
	return cutPlain{t.Targets.Plain(address, service), t.path}
}

type cutEngine struct {
	target.Engine
	path *targetCut
}

// Generate implements target.Engine.
func (e cutEngine) Generate(ctx context.Context, g target.Generation) (target.Stream, error) {
	if e.path.cut.Load() {
		return nil, errTargetCut
	}
	return e.Engine.Generate(ctx, g)
}

type cutPlain struct {
	target.PlainService
	path *targetCut
}

// Call implements target.PlainService.
func (p cutPlain) Call(ctx context.Context, c target.Call) (target.Response, error) {
	if p.path.cut.Load() {
		return target.Response{}, errTargetCut
	}
	return p.PlainService.Call(ctx, c)
}
