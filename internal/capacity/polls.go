package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// idlePolls is the number of polls over which the bytes are averaged.
const idlePolls = 200

// measurePollSlopes measures the traffic of periodic reads while nothing changes: of a
// stream of the log without new records, and of the cache events and the state of an
// engine.
func measurePollSlopes(Size) ([]Slope, error) {
	log := logstore.New(clockwork.NewRealClock(), logstore.Options{})
	read, err := bytesOfPoll(log.Handler(), func(ctx context.Context, address string) func() error {
		c := ports.NewLogClient("http://"+address, nil)
		return func() error {
			_, err := c.Read(ctx, ports.ConfigStream, 0, 0)
			return err
		}
	})
	if err != nil {
		return nil, err
	}
	e := engine.New(engine.Options{})
	address, err := e.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer e.Close()
	order := target.Order{Fence: int64(lease.MinDomainFence) + 22, Models: []string{serviceName(1)}, Version: "v1", Role: "mixed"}
	if err := target.NewEngineClient(address).Apply(context.Background(), order); err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	events, err := bytesOfPoll(proxy, func(ctx context.Context, address string) func() error {
		c := target.NewEngineClient(address)
		return func() error {
			_, err := c.CacheEvents(ctx, 0)
			return err
		}
	})
	if err != nil {
		return nil, err
	}
	state, err := bytesOfPoll(proxy, func(ctx context.Context, address string) func() error {
		c := target.NewEngineClient(address)
		return func() error {
			_, err := c.State(ctx)
			return err
		}
	})
	if err != nil {
		return nil, err
	}
	return []Slope{
		{"log.poll_bytes", read, Bytes, "read of a stream without news", "HTTP both ways over one connection"},
		{"engine.events_bytes", events, Bytes, "cache events of an engine without news", "HTTP both ways over one connection"},
		{"engine.state_bytes", state, Bytes, "order that an engine holds", "HTTP both ways over one connection"},
	}, nil
}

// bytesOfPoll serves h on loopback and returns the bytes of one poll, in both directions,
// over a connection that is already open. newPoll returns a function that polls the server
// at address once.
func bytesOfPoll(h http.Handler, newPoll func(ctx context.Context, address string) func() error) (float64, error) {
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
	poll := newPoll(ctx, listener.Addr().String())
	if err := poll(); err != nil {
		return 0, fmt.Errorf("first poll: %w", err)
	}
	bytesBefore := counted.bytes.Load()
	for range idlePolls {
		if err := poll(); err != nil {
			return 0, fmt.Errorf("poll: %w", err)
		}
	}
	return float64(counted.bytes.Load()-bytesBefore) / idlePolls, nil
}
