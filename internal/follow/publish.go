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
	// publishTimeout limits one call of Publish.
	publishTimeout = 10 * time.Second
	// decisionWait is how long Publish waits for an appended patch to be read
	// back before it appends the patch again.
	decisionWait = 3 * time.Second
)

// Publish appends a patch to the log and waits for the decision, which is final
// once the patch is read back. Publishing a patch ID again returns the decision on
// the first patch with this ID. The error is nil if the patch was accepted and is
// in force on this host. Otherwise its kind is one of these:
//
//   - VersionConflict or InvalidConfig: the patch was rejected, and Result.Version
//     is in force;
//   - MalformedRequest: the patch can never be published;
//   - LogUnavailable: nothing was appended;
//   - PatchUndecided: the patch may still be accepted; publish it again.
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

// DryRun returns the decision on p based on the version in force, with the
// difference between the documents. It appends nothing.
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

// decision returns the decision on p if it is already final. A version that was
// received only from a peer is not considered, because that version may be the
// result of p itself.
func (f *Follower) decision(p config.Patch) (config.Result, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if earlier, ok := f.logState.Find(p.ID); ok {
		return f.repeatedDecision(p, earlier)
	}
	if p.Base <= f.logState.Version {
		_, result := f.logState.Decide(p)
		return result, !result.Accepted, result.Err()
	}
	return config.Result{}, false, nil
}

// repeatedDecision returns the earlier decision on the ID of p, or an error of kind
// MalformedRequest if the patch with that ID had another base or content.
func (f *Follower) repeatedDecision(p config.Patch, earlier config.Result) (config.Result, bool, error) {
	if earlier.MergeHash != xxhash.Sum64(p.Merge) || earlier.Base != p.Base {
		detail := fmt.Sprintf("patch ID %s was used before with another base or content", p.ID)
		return config.Result{}, true, errkind.New(errkind.MalformedRequest, detail)
	}
	if earlier.Kind == errkind.VersionConflict {
		earlier.Version = f.inForce.Version
	}
	return earlier, true, earlier.Err()
}

// awaitDecision waits until p has been read back from the log or decisionWait has
// passed. It returns false if ctx ends first.
func (f *Follower) awaitDecision(ctx context.Context, p config.Patch) bool {
	timer := f.opts.Clock.NewTimer(decisionWait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		_, found := f.logState.Find(p.ID)
		recordsApplied := f.recordsApplied
		f.mu.Unlock()
		if found {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.Chan():
			return true
		case <-recordsApplied:
		}
	}
}

// undecided returns the decision on p if p has been read back by now, and an error
// of kind PatchUndecided otherwise.
func (f *Follower) undecided(p config.Patch) (config.Result, error) {
	f.mu.Lock()
	earlier, ok := f.logState.Find(p.ID)
	version := f.inForce.Version
	f.mu.Unlock()
	if ok {
		return earlier, earlier.Err()
	}
	detail := fmt.Sprintf("patch %s was sent to the log and not yet read back", p.ID)
	return config.Result{PatchID: p.ID, Base: p.Base, Version: version}, errkind.New(errkind.PatchUndecided, detail)
}
