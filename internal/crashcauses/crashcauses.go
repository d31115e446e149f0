// Package crashcauses lets operators list and release causes of crashes, that is, what requests are
// refused for because targets crashed under them. It reads and writes the store that the hosts use.
package crashcauses

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/poison"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	// checkInterval is the time between reads of a record that was written.
	checkInterval = 500 * time.Millisecond
	// checkTime is how long the record must stay. A coordinator that has not read it yet may replace
	// it once with what it knows of the cause.
	checkTime = 1500 * time.Millisecond
	// releaseTimeout is the longest time of a release.
	releaseTimeout = 15 * time.Second
)

// Store is what an operator needs of the store; watch.Store has it.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s watch.Stream) (watch.Page, error)
	// Put writes a record and returns its position.
	Put(ctx context.Context, s watch.Stream, key string, value []byte) (watch.Position, error)
}

// Operator lists and releases causes.
type Operator struct {
	Store Store
	Clock clockwork.Clock
}

// List returns the causes in the store, the one that was found last first, and the keys of the records
// that can't be read. Errors are of the kind LogUnavailable.
func (o *Operator) List(ctx context.Context) (causes []poison.Record, unread []string, err error) {
	page, err := o.Store.Newest(ctx, watch.Hosts)
	if err != nil {
		return nil, nil, errkind.New(errkind.LogUnavailable, fmt.Sprintf("the store can't be read: %s", err))
	}
	for _, r := range page.Records {
		name, shared := watch.SharedName(r.Key)
		if !shared || !poison.IsRecord(name) || r.Value == nil {
			continue
		}
		cause, err := poison.DecodeRecord(r.Value)
		if err != nil {
			unread = append(unread, r.Key)
			continue
		}
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b poison.Record) int {
		if a.FoundAtMS != b.FoundAtMS {
			return int(b.FoundAtMS - a.FoundAtMS)
		}
		return strings.Compare(a.Cause, b.Cause)
	})
	return causes, unread, nil
}

// Release releases a cause and returns its record once the store keeps it. All hosts that read the
// store send its requests again then. Errors are of the kind
//   - MalformedRequest if the name is not that of a cause,
//   - UnknownQuarantine if the store holds no such cause, or it has been released or is too old,
//   - VersionConflict if it was found again meanwhile,
//   - LogUnavailable if the store can't be read or written, or does not keep the release.
//
// With the first two nothing is written.
func (o *Operator) Release(ctx context.Context, name string) (poison.Record, error) {
	if _, err := system.ReadCause(name); err != nil {
		return poison.Record{}, errkind.New(errkind.MalformedRequest, err.Error())
	}
	ctx, cancel := clockwork.WithTimeout(ctx, o.Clock, releaseTimeout)
	defer cancel()
	held, err := o.find(ctx, name)
	if err != nil {
		return poison.Record{}, err
	}
	if age := o.Clock.Since(time.UnixMilli(held.FoundAtMS)); age >= poison.CauseLifetime {
		return poison.Record{}, errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("cause %q is %s old, and no host holds it any more", name, age.Round(time.Minute)))
	}
	if held.Released {
		return poison.Record{}, errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("cause %q has been released already", name))
	}
	release := poison.Record{Cause: name, FoundAtMS: held.FoundAtMS, Released: true, ByOperator: true}
	return release, o.writeUntilKept(ctx, release)
}

// find returns the record of a cause.
func (o *Operator) find(ctx context.Context, name string) (poison.Record, error) {
	causes, _, err := o.List(ctx)
	if err != nil {
		return poison.Record{}, err
	}
	i := slices.IndexFunc(causes, func(r poison.Record) bool { return r.Cause == name })
	if i < 0 {
		return poison.Record{}, errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("no host holds the cause %q", name))
	}
	return causes[i], nil
}

// writeUntilKept writes a release, and again whenever a host replaces it with the cause, until the
// store has kept it for checkTime.
func (o *Operator) writeUntilKept(ctx context.Context, release poison.Record) error {
	value, err := json.Marshal(release)
	if err != nil {
		return err
	}
	for kept := time.Duration(0); kept < checkTime; kept += checkInterval {
		current, err := o.find(ctx, release.Cause)
		if err != nil {
			return err
		}
		if current.FoundAtMS > release.FoundAtMS {
			return errkind.New(errkind.VersionConflict, fmt.Sprintf("cause %q was found again after its release", release.Cause))
		}
		if release.IsLaterThan(current) {
			kept = 0
			if _, err := o.Store.Put(ctx, watch.Hosts, watch.SharedKey(poison.RecordName(release.Cause)), value); err != nil {
				return errkind.New(errkind.LogUnavailable, fmt.Sprintf("the release can't be written: %s", err))
			}
		}
		select {
		case <-ctx.Done():
			return errkind.New(errkind.LogUnavailable, "the store does not keep the release")
		case <-o.Clock.After(checkInterval):
		}
	}
	return nil
}
