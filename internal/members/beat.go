package members

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minHeartbeatInterval and maxHeartbeatInterval bound the interval between
	// the heartbeats of a process, before jitter.
	minHeartbeatInterval = 1 * time.Second
	maxHeartbeatInterval = 4 * time.Second
	// reportDelay is the delay before a heartbeat with new reports. It batches
	// reports that are queued at about the same time.
	reportDelay = 100 * time.Millisecond
	// heartbeatIntervalPerHost times the number of hosts is the heartbeat interval,
	// limited by the two bounds above. While neither bound applies, the total rate
	// of heartbeats of all hosts does not depend on the number of hosts.
	heartbeatIntervalPerHost = 10 * time.Millisecond
	// heartbeatTimeout is the timeout of one attempt to send a heartbeat.
	heartbeatTimeout = 1 * time.Second
	// maxReports limits the reports in one heartbeat. It does not apply to reports
	// that the receiver is down, nor to the response to a request for all reports.
	maxReports = 8
	// maxConcurrentHeartbeats limits the heartbeats that wait for a response.
	maxConcurrentHeartbeats = 16
	// announcementFanout is the number of peers that an announcement is sent to
	// directly.
	announcementFanout = 8
)

// redialer replaces a connection that may be dead without having been closed.
// *peer.Pool implements it.
type redialer interface {
	Redial(ctx context.Context, address string) (*peer.Conn, error)
}

// Handle records a peer's heartbeat and returns this host's heartbeat as the
// response.
func (m *Members) Handle(hb peer.Heartbeat) peer.Heartbeat {
	m.record(hb)
	resp := m.heartbeatTo(hb.Host)
	if hb.WantAllReports {
		m.mu.Lock()
		resp.Reports = m.table.FullReports()
		m.mu.Unlock()
	}
	return resp
}

// Suspect records that a host did not respond to a request. The next heartbeat
// goes to that host.
func (m *Members) Suspect(id tables.HostID) {
	m.mu.Lock()
	m.round = append([]tables.HostID{id}, m.round...)
	m.suspected[id] = true
	m.mu.Unlock()
	m.opts.Feed.Suspect(id)
	m.triggerHeartbeat()
}

// Announce sends this host's state, such as that it is leaving, to
// announcementFanout peers without waiting for the next interval. The peers
// propagate it to the others.
func (m *Members) Announce() {
	m.mu.Lock()
	m.fanout = announcementFanout
	m.mu.Unlock()
	m.triggerHeartbeat()
}

// FetchConfig fetches the configuration from a host that probably has the highest
// version.
func (m *Members) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	address := m.configSource()
	if address == "" {
		return peer.ConfigState{}, errkind.New(errkind.NotConfigured, "no peer is known")
	}
	var state peer.ConfigState
	err := m.opts.Caller.Call(ctx, address, peer.MethodConfig, peer.ConfigRequest{Have: uint64(have)}, &state)
	return state, err
}

// configSource returns the address of a random host among those that reported
// the highest configuration version, or of a random seed if every other known host
// is down or has no peer address. It returns "" if there is no seed either.
func (m *Members) configSource() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	var version uint64
	for _, h := range m.table.Hosts() {
		if h.PeerAddress == "" || m.isSelf(h.ID) || m.table.State(m.opts.Clock.Now(), h.ID) == membership.Down {
			continue
		}
		if h.ConfigVersion > version {
			addresses, version = nil, h.ConfigVersion
		}
		if h.ConfigVersion == version {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = m.opts.Seeds
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[m.rand.IntN(len(addresses))]
}

// heartbeatLoop sends heartbeats at the interval and when triggered, until ctx
// ends.
func (m *Members) heartbeatLoop(ctx context.Context) error {
	var exchanges errgroup.Group
	exchanges.SetLimit(maxConcurrentHeartbeats)
	defer func() { _ = exchanges.Wait() }()
	for {
		timer := m.opts.Clock.NewTimer(m.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-m.heartbeatDue:
			<-m.opts.Clock.After(reportDelay)
		case <-timer.Chan():
		}
		timer.Stop()
		for _, h := range m.nextPeers() {
			exchanges.TryGo(func() error {
				m.exchange(ctx, h)
				return nil
			})
		}
	}
}

// interval returns the time until the next heartbeat, with a jitter of ±25%. It
// is based on minHeartbeatInterval while reports are queued.
func (m *Members) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := min(max(heartbeatIntervalPerHost*time.Duration(len(m.table.Hosts())), minHeartbeatInterval), maxHeartbeatInterval)
	if m.table.HasReports() {
		d = minHeartbeatInterval
	}
	return d*3/4 + time.Duration(m.rand.Int64N(int64(d/2)))
}

// triggerHeartbeat makes heartbeatLoop send heartbeats after reportDelay.
func (m *Members) triggerHeartbeat() {
	select {
	case m.heartbeatDue <- struct{}{}:
	default:
	}
}

// nextPeers returns the hosts to send the next heartbeats to: the next host of a
// shuffled round over all hosts, or several for an announcement, and one host
// that is reported as unreachable.
//
// While the feed is fresh, it returns only the suspects: all hosts that did not
// respond to this process or are reported as unreachable.
func (m *Members) nextPeers() []tables.Host {
	if suspects := m.takeSuspects(); m.opts.Feed.Fresh() {
		return suspects
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make(map[tables.HostID]tables.Host)
	for _, h := range m.table.Hosts() {
		if h.PeerAddress != "" && !m.isSelf(h.ID) {
			hosts[h.ID] = h
		}
	}
	if len(hosts) == 0 {
		return m.randomSeed()
	}
	var out []tables.Host
	if suspects := m.table.Suspects(); len(suspects) > 0 {
		out = append(out, suspects[m.rand.IntN(len(suspects))])
	}
	count := min(len(out)+max(1, m.fanout), len(hosts))
	for attempts := 0; len(out) < count && attempts < 2*len(hosts); attempts++ {
		next, ok := m.nextInRound(hosts)
		if ok && !slices.ContainsFunc(out, func(h tables.Host) bool { return h.ID == next.ID }) {
			out = append(out, next)
		}
	}
	m.fanout = 0
	return out
}

// randomSeed returns one seed as a host without an ID, or nil if there are no
// seeds. The caller must hold m.mu.
func (m *Members) randomSeed() []tables.Host {
	if len(m.opts.Seeds) == 0 {
		return nil
	}
	return []tables.Host{{PeerAddress: m.opts.Seeds[m.rand.IntN(len(m.opts.Seeds))]}}
}

// nextInRound removes and returns the next host of the round. It starts a new
// shuffled round when none is left. The caller must hold m.mu.
func (m *Members) nextInRound(hosts map[tables.HostID]tables.Host) (tables.Host, bool) {
	for range 2 {
		for len(m.round) > 0 {
			id := m.round[0]
			m.round = m.round[1:]
			if h, ok := hosts[id]; ok {
				return h, true
			}
		}
		for id := range hosts {
			m.round = append(m.round, id)
		}
		slices.Sort(m.round)
		m.rand.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	return tables.Host{}, false
}

// isSelf reports whether id is this host. An observer does not represent its
// host, so that it treats the host as a peer.
func (m *Members) isSelf(id tables.HostID) bool {
	return id == m.opts.Self.ID && !m.opts.Observer
}

// exchange sends one heartbeat and records the response. After a failure it
// redials and tries once more.
func (m *Members) exchange(ctx context.Context, to tables.Host) {
	hb := m.heartbeatTo(to.ID)
	m.mu.Lock()
	hb.WantAllReports = !m.synced || m.table.SelfUnlisted()
	m.mu.Unlock()
	resp, err := m.sendHeartbeat(ctx, to.PeerAddress, hb)
	if err != nil && ctx.Err() == nil {
		m.redial(ctx, to.PeerAddress)
		resp, err = m.sendHeartbeat(ctx, to.PeerAddress, hb)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.recordNoResponse(to, err)
		return
	}
	m.mu.Lock()
	m.synced = true
	m.mu.Unlock()
	m.record(resp)
}

func (m *Members) sendHeartbeat(ctx context.Context, address string, hb peer.Heartbeat) (peer.Heartbeat, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, heartbeatTimeout)
	defer cancel()
	var resp peer.Heartbeat
	err := m.opts.Caller.Call(ctx, address, peer.MethodHeartbeat, hb, &resp)
	return resp, err
}

func (m *Members) redial(ctx context.Context, address string) {
	f, ok := m.opts.Caller.(redialer)
	if !ok {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, heartbeatTimeout)
	defer cancel()
	if _, err := f.Redial(ctx, address); err != nil {
		m.opts.Logger.Debug("failed to redial peer", zap.String("address", address), zap.Error(err))
	}
}

// recordNoResponse records in the table that a host did not respond to two
// heartbeats. If the table then queues a report, recordNoResponse triggers a
// heartbeat.
func (m *Members) recordNoResponse(to tables.Host, err error) {
	m.opts.Logger.Debug("no response to heartbeat", zap.String("host", string(to.ID)), zap.Error(err))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	queued := m.table.TotalQueuedReports()
	m.table.RecordNoResponse(now, to.ID)
	m.refresh(now, false)
	if m.table.TotalQueuedReports() > queued {
		m.triggerHeartbeat()
	}
}

// heartbeatTo returns this host's heartbeat to a peer, with reports about other
// hosts.
func (m *Members) heartbeatTo(to tables.HostID) peer.Heartbeat {
	hb := m.opts.Heartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identify(&hb)
	hb.Reports = m.table.Reports(to, maxReports)
	return hb
}

// identify updates this host's own record and sets the sender of a heartbeat to
// this host. In an observer it does nothing. The caller must hold m.mu.
func (m *Members) identify(hb *peer.Heartbeat) {
	if m.opts.Observer {
		return
	}
	m.table.UpdateSelf(hb.Leaving, hb.Reach, hb.ConfigVersion)
	m.refresh(m.opts.Clock.Now(), false)
	hb.Host = m.opts.Self.ID
	hb.Incarnation = m.opts.Self.Incarnation
	hb.Sequence = m.table.Sequence()
}

// record applies a peer's heartbeat: the state of the peer and its reports about
// other hosts. It triggers a heartbeat if the table queued new reports.
func (m *Members) record(hb peer.Heartbeat) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	queued := m.table.TotalQueuedReports()
	m.table.RecordContact(now, membership.Contact{
		Host:          hb.Host,
		Incarnation:   hb.Incarnation,
		Sequence:      hb.Sequence,
		Leaving:       hb.Leaving,
		Reach:         hb.Reach,
		ConfigVersion: hb.ConfigVersion,
	})
	refuted := m.table.ApplyReports(now, hb.Reports)
	m.refresh(now, false)
	hasNewReports := m.table.TotalQueuedReports() > queued
	m.mu.Unlock()
	if refuted || hasNewReports {
		m.triggerHeartbeat()
	}
	if hb.Host != "" {
		m.opts.OnHeartbeat(hb)
	}
}
