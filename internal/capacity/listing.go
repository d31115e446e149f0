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

// listReads is the number of reads over which the bytes are averaged.
const listReads = 200

// addListingSlopes measures the costs of a read of a host list that has not changed, and
// adds them to m.
func addListingSlopes(s Size, m *meter) error {
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
	bytesBefore := counted.bytes.Load()
	for range listReads {
		if _, err := client.List(context.Background()); err != nil {
			return err
		}
	}
	bytesPerRead := float64(counted.bytes.Load()-bytesBefore) / listReads
	m.add("members.unchanged_bytes", bytesPerRead, Bytes, "read of an unchanged host list", "HTTP both ways over one connection")
	m.addTime("members.unchanged_time", "read of an unchanged host list", "HTTP on loopback, the stand-in included", func() {
		_, _ = client.List(context.Background())
	})
	return nil
}
