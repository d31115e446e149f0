package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/platform"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// idlePolls is the number of polls that their bytes are averaged over.
const idlePolls = 200

// pollSlopes measures what a process reads at intervals when nothing is new:
// the end of a stream of the log, and the reports of an engine.
func pollSlopes(Size) ([]Slope, error) {
	log := logstore.New(clockwork.NewRealClock(), logstore.Options{})
	read, err := bytesOfPoll(log.Handler(), func(ctx context.Context, address string) func() error {
		c := platform.NewLogClient("http://"+address, nil)
		return func() error {
			_, err := c.Read(ctx, platform.ConfigStream, 0, 0)
			return err
		}
	})
	if err != nil {
		return nil, err
	}
	renewal, err := bytesOfRenewal()
	if err != nil {
		return nil, err
	}
	e := engine.New(engine.Options{})
	address, err := e.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer e.Close()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	reports, err := bytesOfPoll(proxy, func(ctx context.Context, address string) func() error {
		c := target.NewEngineClient(address)
		return func() error {
			if _, err := c.Load(ctx); err != nil {
				return err
			}
			_, err := c.CacheEvents(ctx, 0)
			return err
		}
	})
	if err != nil {
		return nil, err
	}
	return []Slope{
		{"log.poll_bytes", read, Bytes, "read of a stream without news", "HTTP both ways over one connection"},
		{"lease.read_bytes", renewal, Bytes, "read of one renewal of a lease", "HTTP both ways over one connection"},
		{"engine.poll_bytes", reports, Bytes, "load report and cache events of an engine without news", "HTTP both ways over one connection"},
	}, nil
}

// bytesOfRenewal returns the bytes of a read that brings one renewal of a
// lease, as every controller makes it.
func bytesOfRenewal() (float64, error) {
	now := time.Unix(1_800_000_000, 0)
	record := lease.Record{
		Kind: lease.Renew, Name: "orders/" + domainName(17), ID: uuid.NewString(), Holder: tables.HostID(hostName(17)),
		Incarnation: now.UnixNano(), After: 22, AfterTime: now, Fence: 22,
	}
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	log := logstore.New(clockwork.NewRealClock(), logstore.Options{})
	if _, err := log.Append(context.Background(), platform.LeaseStream, data); err != nil {
		return 0, err
	}
	return bytesOfPoll(log.Handler(), func(ctx context.Context, address string) func() error {
		c := platform.NewLogClient("http://"+address, nil)
		return func() error {
			_, err := c.Read(ctx, platform.LeaseStream, 0, 0)
			return err
		}
	})
}

// bytesOfPoll serves a handler on loopback and returns the bytes of one poll,
// both ways, over a connection that is open already.
func bytesOfPoll(h http.Handler, client func(ctx context.Context, address string) func() error) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("listen: %w", err)
	}
	counted := &countingListener{Listener: listener, bytes: new(atomic.Int64)}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	poll := client(ctx, listener.Addr().String())
	if err := poll(); err != nil {
		return 0, fmt.Errorf("first poll: %w", err)
	}
	begun := counted.bytes.Load()
	for range idlePolls {
		if err := poll(); err != nil {
			return 0, fmt.Errorf("poll: %w", err)
		}
	}
	return float64(counted.bytes.Load()-begun) / idlePolls, nil
}
