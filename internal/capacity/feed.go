package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/feed"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// feedPolls is the number of polls over which a slope is averaged.
const feedPolls = 1000

// fixedMembers provides the membership table of a feed. It never changes.
type fixedMembers struct {
	table *membership.Table
	now   time.Time
	own   peer.Heartbeat
}

// Views returns the views of all hosts.
func (f fixedMembers) Views() []tables.HostView { return f.table.Views(f.now) }

// OwnHeartbeat returns the heartbeat of the host that serves the feed.
func (f fixedMembers) OwnHeartbeat() peer.Heartbeat { return f.own }

// Changed returns a channel that never delivers a value.
func (f fixedMembers) Changed() <-chan struct{} { return nil }

// Suspect does nothing.
func (f fixedMembers) Suspect(tables.HostID) {}

// measureFeedSlopes measures the costs of one process that polls the feed of a
// dispatcher. The bytes of polls are those of both directions, and their processor times
// are those of both ends.
func measureFeedSlopes(s Size) ([]Slope, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	l, err := openFeedLink(ctx, s)
	if err != nil {
		return nil, err
	}
	var last peer.Feed
	first, err := l.measure(1, func() error { return l.pollFeed(ctx, &last, 1) })
	if err != nil {
		return nil, err
	}
	quiet, err := l.measure(feedPolls, func() error { return l.pollFeed(ctx, &last, feedPolls) })
	if err != nil {
		return nil, err
	}
	now := time.Unix(1_800_000_000, 0)
	row, err := json.Marshal(s.memberTable(now).Views(now)[0])
	if err != nil {
		return nil, err
	}
	return []Slope{
		{"feed.first_bytes", first.bytes, Bytes, "first poll of a process", "one call over loopback at the target size"},
		{"feed.poll_bytes", quiet.bytes, Bytes, "poll without news, both ways", "1000 calls over loopback at the target size"},
		{"feed.poll_time", quiet.seconds, Seconds, "poll without news, both ends", "processor time of 1000 calls over loopback at the target size"},
		{"feed.row_bytes", float64(len(row)), Bytes, "changed row of the membership table", "JSON"},
	}, nil
}

// openFeedLink serves a feed at size s on loopback and connects to it.
func openFeedLink(ctx context.Context, s Size) (*loopbackLink, error) {
	clock := clockwork.NewRealClock()
	list := hostlist.New(clock, 0)
	list.SetHosts(s.listing().Hosts)
	list.SetTargets(s.listing().Targets)
	source := feed.NewSource(feed.SourceOptions{Host: "entry-000", Clock: clock, Log: logstore.New(clock, logstore.Options{}), List: list})
	if _, err := source.List().List(ctx); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if _, err := source.Log().Read(ctx, ports.ConfigStream, 0, 0); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	now := time.Unix(1_800_000_000, 0)
	own := s.heartbeat()
	own.Reports = nil
	mux := peer.NewMux()
	source.Serve(mux, fixedMembers{table: s.memberTable(now), now: now, own: own})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &loopbackLink{bytes: new(atomic.Int64), address: listener.Addr().String()}
	counted := &countingListener{Listener: listener, bytes: l.bytes}
	go func() { _ = peer.Serve(ctx, counted, mux, wireKey, clock) }()
	l.pool = peer.NewPool(ctx, peer.Hello{Host: "entry-000", Role: "gate", Key: wireKey}, peer.NewMux(), clock)
	_, err = l.pool.Get(ctx, l.address)
	return l, err
}

// pollFeed polls the feed the given number of times. No poll waits for changes.
func (l *loopbackLink) pollFeed(ctx context.Context, last *peer.Feed, times int) error {
	for range times {
		q := peer.FeedRequest{Role: "gate", ConfigVersion: 123_456, Source: last.Source, Seen: last.Revision}
		*last = peer.Feed{}
		if err := l.pool.Call(ctx, l.address, peer.MethodFeed, q, last); err != nil {
			return fmt.Errorf("poll: %w", err)
		}
	}
	return nil
}
