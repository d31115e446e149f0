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

// setRetention sets how long the log keeps records: "retention 20s".
func setRetention(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	text, err := a.word("time")
	if err != nil {
		return err
	}
	return withDuration(text, s.h.SetRetention)
}

// cutHosts cuts hosts off from the platform and all other hosts.
func cutHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	hosts, err := s.hostsOf(a)
	if err == nil {
		s.h.Cut(hosts...)
	}
	return err
}

// mendHosts ends the cut of hosts.
func mendHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	hosts, err := s.hostsOf(a)
	if err == nil {
		s.h.Mend(hosts...)
	}
	return err
}

// hostsOf returns the hosts that the rest of a command names.
func (s *state) hostsOf(a *arguments) ([]tables.HostID, error) {
	var out []tables.HostID
	for _, name := range a.rest() {
		host, err := s.h.Host(name)
		if err != nil {
			return nil, err
		}
		out = append(out, host.ID)
	}
	return out, nil
}

// awaitDropped waits until the log has dropped every record of a stream that it
// has at the beginning of the command: "dropped config".
func awaitDropped(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	stream, err := a.word("stream")
	if err != nil {
		return err
	}
	page, err := s.h.Log.Read(ctx, stream, 0, 0)
	if err != nil && !errors.Is(err, ports.ErrTruncated) {
		return err
	}
	last := page.Next - 1
	gone := func() bool {
		_, err := s.h.Log.Read(ctx, stream, last, 0)
		return errors.Is(err, ports.ErrTruncated)
	}
	if !harness.Await(ctx, gone) {
		return fmt.Errorf("the log keeps record %d of stream %q", last, stream)
	}
	return nil
}

// holdOrders keeps the orders of a host's controller until wake; with orders=N
// it waits until so many are held that were sent since an earlier hold-orders.
func holdOrders(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, orders, err := s.hostAndOrders(a)
	if err != nil {
		return err
	}
	host.HoldOrders()
	return host.AwaitHeldOrders(ctx, orders)
}

func (s *state) hostAndOrders(a *arguments) (*harness.Host, int, error) {
	host, err := s.hostOf(a)
	if err != nil {
		return nil, 0, err
	}
	orders, err := a.number("orders", 0)
	return host, orders, err
}

// pauseHost freezes a controller once orders=N orders are held.
func pauseHost(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, orders, err := s.hostAndOrders(a)
	if err != nil {
		return err
	}
	return host.Pause(ctx, orders)
}

// wakeHost lets a controller go on and its orders out.
func wakeHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.hostOf(a)
	if err == nil {
		host.Wake()
	}
	return err
}

// awaitHeld waits until a host holds a lease, which may not be the host of the
// option not, and sets a variable to it: "held orders/a as=first not=h1".
func awaitHeld(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.word("lease")
	if err != nil {
		return err
	}
	not, variable := a.option("not", ""), a.option("as", "holder")
	holder := func() string { return string(s.h.Holder(name)) }
	began := time.Now()
	if !harness.Await(ctx, func() bool { return holder() != "" && holder() != not }) {
		return fmt.Errorf("lease %q is held by %q", name, holder())
	}
	ts.Setenv(variable, holder())
	ts.Logf("%s is held by %s after %v", name, ts.Getenv(variable), time.Since(began).Round(time.Millisecond))
	return nil
}

// awaitStanding waits until an engine stands as its current holder ordered:
// "standing e1 version=v2 refused=1 late=0". refused and late are the orders
// that came under an old fencing number and were refused or taken.
func awaitStanding(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("engine")
	if err != nil {
		return err
	}
	t, err := s.h.Target(name)
	if err != nil {
		return err
	}
	version, refused, late := a.option("version", ""), a.option("refused", "0"), a.option("late", "0")
	expected := [2]span{}
	for i, text := range []string{refused, late} {
		if expected[i], err = parseSpan(text); err != nil {
			return err
		}
	}
	holds := func() bool {
		st := t.Standing()
		return st.Current && st.Order.Version == version && expected[0].contains(st.Refused) && expected[1].contains(st.Late)
	}
	if !harness.Await(ctx, holds) {
		return fmt.Errorf("engine %q stands at %+v", name, t.Standing())
	}
	return nil
}
