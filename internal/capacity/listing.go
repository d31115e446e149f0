package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
)

// unchangedReads is the number of reads that the bytes are averaged over.
const unchangedReads = 200

// listingSlopes measures a read of a host list that has not changed.
func listingSlopes(s Size, m *meter) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	counted := &countingListener{Listener: listener, bytes: new(atomic.Int64)}
	list := hostlist.New(clockwork.NewRealClock(), 0)
	list.SetHosts(s.listing().Hosts)
	list.SetTargets(s.listing().Targets)
	server := &http.Server{Handler: list.Handler()}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	client := ports.NewHostListClient("http://"+listener.Addr().String(), nil)
	if _, err := client.List(context.Background()); err != nil {
		return err
	}
	begun := counted.bytes.Load()
	for range unchangedReads {
		if _, err := client.List(context.Background()); err != nil {
			return err
		}
	}
	each := float64(counted.bytes.Load()-begun) / unchangedReads
	m.add("members.unchanged_bytes", each, Bytes, "read of an unchanged host list", "HTTP both ways over one connection")
	m.time("members.unchanged_time", "read of an unchanged host list", "HTTP on loopback, the stand-in included", func() {
		_, _ = client.List(context.Background())
	})
	return nil
}
