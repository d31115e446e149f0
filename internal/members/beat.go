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
	// beatMin and beatMax bound the time between two heartbeats of a process.
	beatMin = 1 * time.Second
	beatMax = 4 * time.Second
	// beatGap is the wait before a heartbeat that passes on news.
	beatGap = 100 * time.Millisecond
	// beatPerHost is the time between two heartbeats for each host, so that
	// the traffic of a process does not grow with the number of hosts.
	beatPerHost = 10 * time.Millisecond
	// beatTimeout bounds one try of a heartbeat.
	beatTimeout = 1 * time.Second
	// reportLimit bounds the reports in one heartbeat.
	reportLimit = 8
	// beatsAtOnce bounds the heartbeats without an answer.
	beatsAtOnce = 16
	// announceTo is how many peers an announcement goes to directly.
	announceTo = 8
)

// fresh is implemented by *peer.Pool: it replaces a connection that may have
// gone silent.
type fresh interface {
	Redial(ctx context.Context, address string) (*peer.Conn, error)
}

// Handle answers a peer's heartbeat.
func (m *Members) Handle(hb peer.Heartbeat) peer.Heartbeat {
	m.take(hb)
	own := m.own(hb.Host)
	if hb.WantAll {
		m.mu.Lock()
		own.Reports = m.table.FullReports()
		m.mu.Unlock()
	}
	return own
}

// Suspect makes the next heartbeat go to a host that did not answer.
func (m *Members) Suspect(id tables.HostID) {
	m.mu.Lock()
	m.order = append([]tables.HostID{id}, m.order...)
	m.suspected[id] = true
	m.mu.Unlock()
	m.opts.Feed.Suspect(id)
	m.beatSoon()
}

// Announce tells several peers at once what this host says of itself, such as
// that it is leaving; they pass it on.
func (m *Members) Announce() {
	m.mu.Lock()
	m.burst = announceTo
	m.mu.Unlock()
	m.beatSoon()
}

// FetchConfig asks the host that probably knows the highest version of the
// configuration.
func (m *Members) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	address := m.bestSource()
	if address == "" {
		return peer.ConfigState{}, errkind.New(errkind.NotConfigured, "no peer is known")
	}
	var state peer.ConfigState
	err := m.opts.Caller.Call(ctx, address, peer.MethodConfig, peer.ConfigRequest{Have: uint64(have)}, &state)
	return state, err
}

// bestSource returns the address of a random host among those that answered
// with the highest version, or of any host while none has answered.
func (m *Members) bestSource() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best []string
	var version uint64
	for _, h := range m.table.Hosts() {
		if h.PeerAddress == "" || m.isSelf(h.ID) || m.table.State(m.opts.Clock.Now(), h.ID) == membership.Down {
			continue
		}
		if h.ConfigVersion > version {
			best, version = nil, h.ConfigVersion
		}
		if h.ConfigVersion == version {
			best = append(best, h.PeerAddress)
		}
	}
	if len(best) == 0 {
		best = m.opts.Seeds
	}
	if len(best) == 0 {
		return ""
	}
	return best[m.rand.IntN(len(best))]
}

func (m *Members) beatLoop(ctx context.Context) error {
	var tries errgroup.Group
	tries.SetLimit(beatsAtOnce)
	defer func() { _ = tries.Wait() }()
	for {
		timer := m.opts.Clock.NewTimer(m.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-m.soon:
			<-m.opts.Clock.After(beatGap)
		case <-timer.Chan():
		}
		timer.Stop()
		for _, h := range m.partners() {
			tries.TryGo(func() error {
				m.exchange(ctx, h)
				return nil
			})
		}
	}
}

// interval returns the jittered time to the next heartbeat; it is the shortest
// while there is news to pass on.
func (m *Members) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := min(max(beatPerHost*time.Duration(len(m.table.Hosts())), beatMin), beatMax)
	if m.table.HasReports() {
		d = beatMin
	}
	return d*3/4 + time.Duration(m.rand.Int64N(int64(d/2)))
}

func (m *Members) beatSoon() {
	select {
	case m.soon <- struct{}{}:
	default:
	}
}

// partners returns the next host of a shuffled round over all hosts, more for
// an announcement, and one host that others could not reach.
//
// A process that is fed tries only the hosts that did not answer it.
func (m *Members) partners() []tables.Host {
	if suspects := m.suspects(); m.opts.Feed.Fed() {
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
		return m.seeds()
	}
	var out []tables.Host
	if suspects := m.table.Suspects(); len(suspects) > 0 {
		out = append(out, suspects[m.rand.IntN(len(suspects))])
	}
	wanted := min(len(out)+max(1, m.burst), len(hosts))
	for tries := 0; len(out) < wanted && tries < 2*len(hosts); tries++ {
		next, ok := m.next(hosts)
		if ok && !slices.ContainsFunc(out, func(h tables.Host) bool { return h.ID == next.ID }) {
			out = append(out, next)
		}
	}
	m.burst = 0
	return out
}

func (m *Members) seeds() []tables.Host {
	if len(m.opts.Seeds) == 0 {
		return nil
	}
	return []tables.Host{{PeerAddress: m.opts.Seeds[m.rand.IntN(len(m.opts.Seeds))]}}
}

// next takes the next host of the round; m.mu is held.
func (m *Members) next(hosts map[tables.HostID]tables.Host) (tables.Host, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if h, ok := hosts[id]; ok {
				return h, true
			}
		}
		for id := range hosts {
			m.order = append(m.order, id)
		}
		slices.Sort(m.order)
		m.rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return tables.Host{}, false
}

func (m *Members) isSelf(id tables.HostID) bool {
	return id == m.opts.Self.ID && !m.opts.Observer
}

// exchange sends one heartbeat, and again on a new connection when there is
// no answer.
func (m *Members) exchange(ctx context.Context, to tables.Host) {
	hb := m.own(to.ID)
	m.mu.Lock()
	hb.WantAll = !m.introduced || m.table.SelfUnlisted()
	m.mu.Unlock()
	answer, err := m.try(ctx, to.PeerAddress, hb)
	if err != nil && ctx.Err() == nil {
		m.redial(ctx, to.PeerAddress)
		answer, err = m.try(ctx, to.PeerAddress, hb)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.noAnswer(to, err)
		return
	}
	m.mu.Lock()
	m.introduced = true
	m.mu.Unlock()
	m.take(answer)
}

func (m *Members) try(ctx context.Context, address string, hb peer.Heartbeat) (peer.Heartbeat, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, beatTimeout)
	defer cancel()
	var answer peer.Heartbeat
	err := m.opts.Caller.Call(ctx, address, peer.MethodHeartbeat, hb, &answer)
	return answer, err
}

func (m *Members) redial(ctx context.Context, address string) {
	f, ok := m.opts.Caller.(fresh)
	if !ok {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, beatTimeout)
	defer cancel()
	if _, err := f.Redial(ctx, address); err != nil {
		m.opts.Logger.Debug("peer not redialled", zap.String("address", address), zap.Error(err))
	}
}

func (m *Members) noAnswer(to tables.Host, err error) {
	m.opts.Logger.Debug("no answer to heartbeat", zap.String("host", string(to.ID)), zap.Error(err))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	told := m.table.TotalQueuedReports()
	m.table.RecordNoResponse(now, to.ID)
	m.settle(now, false)
	if m.table.TotalQueuedReports() > told {
		m.beatSoon()
	}
}

// own returns this host's heartbeat to a peer.
func (m *Members) own(to tables.HostID) peer.Heartbeat {
	hb := m.opts.Heartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identify(&hb)
	hb.Reports = m.table.Reports(to, reportLimit)
	return hb
}

// identify fills in the host that a heartbeat speaks for; m.mu is held.
func (m *Members) identify(hb *peer.Heartbeat) {
	if m.opts.Observer {
		return
	}
	m.table.UpdateSelf(hb.Leaving, hb.ConfigVersion)
	m.settle(m.opts.Clock.Now(), false)
	hb.Host = m.opts.Self.ID
	hb.Incarnation = m.opts.Self.Incarnation
	hb.Sequence = m.table.Sequence()
}

// take notes what a peer says of itself and of others. News is passed on
// at once.
func (m *Members) take(hb peer.Heartbeat) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	told := m.table.TotalQueuedReports()
	m.table.RecordContact(now, membership.Contact{
		Host:          hb.Host,
		Incarnation:   hb.Incarnation,
		Sequence:      hb.Sequence,
		Leaving:       hb.Leaving,
		ConfigVersion: hb.ConfigVersion,
	})
	refuted := m.table.ApplyReports(now, hb.Reports)
	m.settle(now, false)
	news := m.table.TotalQueuedReports() > told
	m.mu.Unlock()
	if refuted || news {
		m.beatSoon()
	}
	if hb.Host != "" {
		m.opts.OnHeartbeat(hb)
	}
}
