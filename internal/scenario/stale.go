package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// setRetention sets the retention of the log: "retention 20s".
func setRetention(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	text, err := a.nextWord("time")
	if err != nil {
		return err
	}
	return setDuration(text, s.harness.SetRetention)
}

// partitionHosts adds hosts to a network partition that separates them from the
// platform and from all other hosts: "cut h1 h2".
func partitionHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	hosts, err := s.remainingHosts(a)
	if err == nil {
		s.harness.Partition(hosts...)
	}
	return err
}

// healHosts removes hosts from the network partition: "mend h1 h2".
func healHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	hosts, err := s.remainingHosts(a)
	if err == nil {
		s.harness.Heal(hosts...)
	}
	return err
}

// remainingHosts removes all remaining words, the names of hosts, and returns the
// IDs of these hosts.
func (s *state) remainingHosts(a *arguments) ([]tables.HostID, error) {
	var out []tables.HostID
	for _, name := range a.remainingWords() {
		host, err := s.harness.Host(name)
		if err != nil {
			return nil, err
		}
		out = append(out, host.ID)
	}
	return out, nil
}

// awaitRecordsDropped waits until the log has dropped all records that a stream had
// when the command began: "dropped config".
func awaitRecordsDropped(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	stream, err := a.nextWord("stream")
	if err != nil {
		return err
	}
	page, err := s.harness.Log.Read(ctx, stream, 0, 0)
	if err != nil && !errors.Is(err, ports.ErrTruncated) {
		return err
	}
	last := page.Next - 1
	dropped := func() bool {
		_, err := s.harness.Log.Read(ctx, stream, last, 0)
		return errors.Is(err, ports.ErrTruncated)
	}
	if !harness.Await(ctx, dropped) {
		return fmt.Errorf("the log still has record %d of stream %q", last, stream)
	}
	return nil
}

// holdOrders holds the orders of a host's controller until the wake command, and
// waits until at least N orders are held: "hold-orders h1 orders=N". N is 0 by
// default. Orders that are held since an earlier hold-orders are counted as well.
func holdOrders(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, orders, err := s.hostAndOrders(a)
	if err != nil {
		return err
	}
	host.HoldOrders()
	return host.AwaitHeldOrders(ctx, orders)
}

func (s *state) hostAndOrders(a *arguments) (*harness.Host, int, error) {
	host, err := s.nextHost(a)
	if err != nil {
		return nil, 0, err
	}
	orders, err := a.number("orders", 0)
	return host, orders, err
}

// pauseController pauses a host's controller once at least N of its orders are
// held: "pause h1 orders=N".
func pauseController(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, orders, err := s.hostAndOrders(a)
	if err != nil {
		return err
	}
	return host.Pause(ctx, orders)
}

// resumeController lets a host's controller continue and releases its held orders:
// "wake h1".
func resumeController(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.nextHost(a)
	if err == nil {
		host.Resume()
	}
	return err
}

// awaitLeaseHolder waits until a lease is held by a host other than the one that
// the option "not" names: "held orders/a as=first not=h1". It sets the environment
// variable that the option "as" names ("holder" by default) to the ID of the holder.
func awaitLeaseHolder(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("lease")
	if err != nil {
		return err
	}
	not, variable := a.option("not", ""), a.option("as", "holder")
	holder := func() string { return string(s.harness.Holder(name)) }
	start := time.Now()
	if !harness.Await(ctx, func() bool { return holder() != "" && holder() != not }) {
		return fmt.Errorf("lease %q is held by %q", name, holder())
	}
	ts.Setenv(variable, holder())
	ts.Logf("%s is held by %s after %v", name, ts.Getenv(variable), time.Since(start).Round(time.Millisecond))
	return nil
}

// awaitOrderState waits until the latest order that an engine applied has the
// given model version and the highest fencing number of all applied orders:
// "standing e1 version=v2 refused=1 late=0". The options "refused" and "late" are the
// expected counts, or ranges of counts, of the orders with an old fencing number that
// the engine refused and applied. Both are 0 by default. Without the option
// "version", the order must have no model version.
func awaitOrderState(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("engine")
	if err != nil {
		return err
	}
	t, err := s.harness.Target(name)
	if err != nil {
		return err
	}
	version, refused, late := a.option("version", ""), a.option("refused", "0"), a.option("late", "0")
	expected := [2]countRange{}
	for i, text := range []string{refused, late} {
		if expected[i], err = parseCountRange(text); err != nil {
			return err
		}
	}
	holds := func() bool {
		st := t.OrderState()
		return st.Current && st.Order.Version == version && expected[0].contains(st.StaleRefused) && expected[1].contains(st.StaleApplied)
	}
	if !harness.Await(ctx, holds) {
		return fmt.Errorf("engine %q has order state %+v", name, t.OrderState())
	}
	return nil
}
