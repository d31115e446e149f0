package watch_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	modelHistories = 3000
	modelSteps     = 60
	modelHosts     = 3
	modelTargets   = 4
)

// modelStore is the store: a log of each stream, which can be restored from a copy.
type modelStore struct {
	logs        map[watch.Stream][]watch.Record
	copied      map[watch.Stream][]watch.Record
	incarnation int64
}

func (m *modelStore) put(name watch.Stream, key, value string) {
	r := record(key, value, int64(len(m.logs[name])))
	m.logs[name] = append(m.logs[name], r)
}

func (m *modelStore) copy() {
	m.copied = make(map[watch.Stream][]watch.Record)
	for name, records := range m.logs {
		m.copied[name] = append([]watch.Record(nil), records...)
	}
}

func (m *modelStore) restore() {
	if m.copied == nil {
		return
	}
	m.logs = make(map[watch.Stream][]watch.Record)
	for name, records := range m.copied {
		m.logs[name] = append([]watch.Record(nil), records...)
	}
	m.incarnation++
}

func (m *modelStore) listing(name watch.Stream) watch.Page {
	newest := make(map[string]watch.Record)
	for _, r := range m.logs[name] {
		newest[r.Key] = r
	}
	p := watch.Page{End: int64(len(m.logs[name])), Incarnation: m.incarnation}
	for _, r := range newest {
		if r.Value != nil {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// modelTarget is a target as it knows itself.
type modelTarget struct {
	id       string
	start    int64
	sequence int64
	state    string
}

// version is the start and the sequence number of a target's record.
type version struct{ start, sequence int64 }

func (v version) after(w version) bool {
	if v.start != w.start {
		return v.start > w.start
	}
	return v.sequence > w.sequence
}

// modelHost is a host with what it must not forget.
type modelHost struct {
	state         *watch.State
	configVersion uint64
	// departed holds the record with which this host saw each target leave.
	departed map[tables.TargetID]version
	seen     map[tables.TargetID]version
}

// lateAnswer is an answer of the store that has not arrived.
type lateAnswer struct {
	host  int
	name  watch.Stream
	from  int64
	list  bool
	page  watch.Page
	fresh *watch.State
}

// model plays one random history.
type model struct {
	rng     *rand.Rand
	now     time.Time
	store   *modelStore
	targets []*modelTarget
	hosts   []*modelHost
	late    []lateAnswer
	version uint64
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 0)), now: start, store: &modelStore{logs: make(map[watch.Stream][]watch.Record), incarnation: 1}, version: 1}
	m.store.put(watch.Configs, "config", "1")
	for i := range modelTargets {
		m.targets = append(m.targets, &modelTarget{id: fmt.Sprintf("t%d", i), start: 1, state: "ready"})
		m.write(m.targets[i])
	}
	for range modelHosts {
		m.hosts = append(m.hosts, newModelHost())
	}
	return m
}

func newModelHost() *modelHost {
	return &modelHost{state: watch.NewState(decoder{}, zap.NewNop()), departed: make(map[tables.TargetID]version), seen: make(map[tables.TargetID]version)}
}

func (m *model) write(t *modelTarget) {
	t.sequence++
	switch t.state {
	case "ready":
		m.store.put(watch.Targets, t.id, fmt.Sprintf("a;start=%d;sequence=%d", t.start, t.sequence))
	case "leaving":
		m.store.put(watch.Targets, t.id, fmt.Sprintf("a;start=%d;sequence=%d;leaving", t.start, t.sequence))
	default:
		m.store.put(watch.Targets, t.id, "")
	}
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(800)) * time.Millisecond)
	host := m.rng.IntN(modelHosts)
	switch m.rng.IntN(12) {
	case 0:
		m.version++
		m.store.put(watch.Configs, "config", strconv.FormatUint(m.version, 10))
	case 1, 2:
		m.changeTarget(m.targets[m.rng.IntN(modelTargets)])
	case 3:
		m.store.copy()
	case 4:
		m.store.restore()
		m.writeAgain()
	case 5, 6, 7:
		m.read(host, m.rng.IntN(3) == 0)
	case 8, 9:
		m.exchange(host, m.rng.IntN(modelHosts))
	case 10:
		m.deliverLate()
	case 11:
		if m.rng.IntN(4) == 0 {
			m.restart(host)
		}
	}
	for _, h := range m.hosts {
		h.state.ApplyHeldRemovals(m.now)
	}
}

// changeTarget lets a target go on to its next state: ready, leaving, gone, and then
// ready with a new start.
func (m *model) changeTarget(t *modelTarget) {
	switch t.state {
	case "ready":
		t.state = "leaving"
	case "leaving":
		t.state = "gone"
	default:
		t.state, t.start, t.sequence = "ready", t.start+1, 0
	}
	m.write(t)
}

// writeAgain writes what the operator and the live targets have, after a restoration.
func (m *model) writeAgain() {
	if m.rng.IntN(2) == 0 {
		return
	}
	m.store.put(watch.Configs, "config", strconv.FormatUint(m.version, 10))
	for _, t := range m.targets {
		if t.state != "gone" {
			m.write(t)
		}
	}
}

// read has a host read a stream; the answer may arrive late.
func (m *model) read(host int, late bool) {
	name := []watch.Stream{watch.Configs, watch.Targets}[m.rng.IntN(2)]
	mark := m.hosts[host].state.Mark(name)
	answer := lateAnswer{host: host, name: name, from: mark.End, fresh: m.hosts[host].state}
	end := int64(len(m.store.logs[name]))
	answer.list = mark.End < 0 || mark.End > end || m.rng.IntN(4) == 0
	if answer.list {
		answer.page = m.store.listing(name)
	} else {
		answer.page = watch.Page{Records: append([]watch.Record(nil), m.store.logs[name][mark.End:]...), End: end, Incarnation: m.store.incarnation}
	}
	if late {
		m.late = append(m.late, answer)
		return
	}
	m.apply(answer)
}

func (m *model) apply(a lateAnswer) {
	h := m.hosts[a.host]
	if h.state != a.fresh {
		return
	}
	if a.list {
		h.state.ApplyListing(m.now, a.name, a.page)
		return
	}
	if !h.state.Apply(m.now, a.name, a.from, a.page) {
		h.state.ApplyListing(m.now, a.name, m.store.listing(a.name))
	}
}

func (m *model) deliverLate() {
	if len(m.late) == 0 {
		return
	}
	a := m.late[0]
	m.late = m.late[1:]
	m.apply(a)
}

// exchange has one host send another what that one lacks.
func (m *model) exchange(from, to int) {
	if from == to {
		return
	}
	snapshot := m.hosts[from].state.After(m.hosts[to].state.Marks())
	m.hosts[to].state.ApplyDepartures(snapshot.Departures)
	m.hosts[to].state.ApplyUpdate(m.now, snapshot.Changes, snapshot.Spans)
}

// restart replaces a host. Like a starting process it reads the store and attaches to
// the others before it serves.
func (m *model) restart(host int) {
	m.hosts[host] = newModelHost()
	for _, name := range []watch.Stream{watch.Configs, watch.Targets} {
		m.hosts[host].state.ApplyListing(m.now, name, m.store.listing(name))
	}
	for other := range m.hosts {
		m.exchange(other, host)
	}
}

// check returns what a host must not have done.
func (h *modelHost) check() error {
	if c := h.state.Config(); c != nil {
		if c.Version < h.configVersion {
			return fmt.Errorf("configuration went back from %d to %d", h.configVersion, c.Version)
		}
		h.configVersion = c.Version
	}
	listed := make(map[tables.TargetID]bool)
	for _, t := range h.state.Targets() {
		listed[t.ID] = true
		v := version{t.StartedAt.UnixMilli(), t.Sequence}
		if t.Leaving {
			if v.after(h.departed[t.ID]) {
				h.departed[t.ID] = v
			}
			continue
		}
		if d, left := h.departed[t.ID]; left && !v.after(d) {
			return fmt.Errorf("target %s of start %d, record %d, is used after its record %d of start %d said that it left", t.ID, v.start, v.sequence, d.sequence, d.start)
		}
		h.seen[t.ID] = v
	}
	for id, v := range h.seen {
		if !listed[id] && v.after(h.departed[id]) {
			h.departed[id] = v
		}
	}
	return nil
}

// settle lets the store be and every host read and exchange, and returns what the
// hosts still disagree about.
func (m *model) settle() error {
	m.store.put(watch.Configs, "config", strconv.FormatUint(m.version, 10))
	for _, t := range m.targets {
		m.write(t)
	}
	for len(m.late) > 0 {
		m.deliverLate()
	}
	for host := range m.hosts {
		for _, name := range []watch.Stream{watch.Configs, watch.Targets} {
			m.apply(lateAnswer{host: host, name: name, list: true, page: m.store.listing(name), fresh: m.hosts[host].state})
		}
	}
	m.now = m.now.Add(5 * time.Second)
	for host, h := range m.hosts {
		h.state.ApplyHeldRemovals(m.now)
		if got := h.state.Config().Version; got != m.version {
			return fmt.Errorf("host %d has configuration %d of %d", host, got, m.version)
		}
		for _, t := range m.targets {
			got, listed := h.state.Target(tables.TargetID(t.id))
			usable := listed && !got.Leaving
			if usable != (t.state == "ready") {
				return fmt.Errorf("host %d: target %s is %s, usable %t", host, t.id, t.state, usable)
			}
		}
	}
	return nil
}

func TestRestoredStoreModel(t *testing.T) {
	for seed := range uint64(modelHistories) {
		m := newModel(seed)
		for step := range modelSteps {
			m.step()
			for host, h := range m.hosts {
				if err := h.check(); err != nil {
					t.Fatalf("seed %d, step %d, host %d: %v", seed, step, host, err)
				}
			}
		}
		if err := m.settle(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
