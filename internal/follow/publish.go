package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

const (
	// publishTimeout bounds one publication.
	publishTimeout = 10 * time.Second
	// settleWait is how long an append is given to show in the stream before
	// the same patch is appended again.
	settleWait = 3 * time.Second
)

// Publish appends a patch and waits until the log decides it. Publishing the
// same patch ID again returns the first decision. The error is nil when the
// patch is accepted and in force on this host; otherwise its kind is
//
//   - VersionConflict or InvalidConfig: rejected; Result.Version is in force;
//   - MalformedRequest: the patch can never be published;
//   - LogUnavailable: nothing was appended;
//   - PatchUndecided: the patch may yet be accepted; publish it again.
func (f *Follower) Publish(ctx context.Context, p config.Patch) (config.Result, error) {
	if err := p.Check(); err != nil {
		return config.Result{}, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, publishTimeout)
	defer cancel()
	data, err := config.LogRecord{Patch: &p}.Encode()
	if err != nil {
		return config.Result{}, errkind.Wrap(err, errkind.MalformedRequest, "patch has no JSON form")
	}
	appended := false
	for {
		if result, done, err := f.decision(p); done {
			return result, err
		}
		_, err := f.opts.Log.Append(ctx, ports.ConfigStream, data)
		if err != nil && errors.Is(err, ports.ErrUnavailable) && !appended {
			return config.Result{}, errkind.Wrap(err, errkind.LogUnavailable, "patch was not appended")
		}
		appended = true
		if !f.awaitDecision(ctx, p) {
			return f.undecided(p)
		}
	}
}

// DryRun returns the decision that Publish would get now, with the difference
// between the documents, and appends nothing.
func (f *Follower) DryRun(p config.Patch) (config.Result, error) {
	if err := p.Check(); err != nil {
		return config.Result{}, err
	}
	f.mu.Lock()
	state := f.inForce
	f.mu.Unlock()
	_, result := state.Decide(p)
	return result, result.Err()
}

// decision returns what is already certain about p. A version that came from a
// peer decides nothing: p itself may have made it.
func (f *Follower) decision(p config.Patch) (config.Result, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if earlier, ok := f.fold.Find(p.ID); ok {
		return f.repeated(p, earlier)
	}
	if p.Base <= f.fold.Version {
		_, result := f.fold.Decide(p)
		return result, !result.Accepted, result.Err()
	}
	return config.Result{}, false, nil
}

func (f *Follower) repeated(p config.Patch, earlier config.Result) (config.Result, bool, error) {
	if earlier.Content != xxhash.Sum64(p.Merge) || earlier.Base != p.Base {
		detail := fmt.Sprintf("patch ID %s was used before with another base or content", p.ID)
		return config.Result{}, true, errkind.New(errkind.MalformedRequest, detail)
	}
	if earlier.Kind == errkind.VersionConflict {
		earlier.Version = f.inForce.Version
	}
	return earlier, true, earlier.Err()
}

// awaitDecision waits until the fold decides p or settleWait passes. It
// returns false when ctx ends first.
func (f *Follower) awaitDecision(ctx context.Context, p config.Patch) bool {
	settle := f.opts.Clock.NewTimer(settleWait)
	defer settle.Stop()
	for {
		f.mu.Lock()
		_, found := f.fold.Find(p.ID)
		decided := f.decided
		f.mu.Unlock()
		if found {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-settle.Chan():
			return true
		case <-decided:
		}
	}
}

func (f *Follower) undecided(p config.Patch) (config.Result, error) {
	f.mu.Lock()
	earlier, ok := f.fold.Find(p.ID)
	version := f.inForce.Version
	f.mu.Unlock()
	if ok {
		return earlier, earlier.Err()
	}
	detail := fmt.Sprintf("patch %s was sent to the log and not yet read back", p.ID)
	return config.Result{PatchID: p.ID, Base: p.Base, Version: version}, errkind.New(errkind.PatchUndecided, detail)
}
