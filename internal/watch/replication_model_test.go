package watch_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	replicationSteps = 120
	replicationKeys  = 5
	// checkedHosts is the number of hosts that are checked after a step.
	checkedHosts = 4
)

// replicationHistories scales the number of histories, which falls with the square of the
// number of hosts.
var replicationHistories = flag.Int("replication-histories", 2000, "histories of replication")

// logStore is a store that keeps what each of its incarnations has accepted. It answers
// reads from an offset before kept with a listing, as if the records had been deleted.
type logStore struct {
	incarnation int64
	logs        map[int64]map[watch.Stream][]watch.Record
	kept        map[watch.Stream]int64
}

func newLogStore() *logStore {
	return &logStore{incarnation: 1, logs: map[int64]map[watch.Stream][]watch.Record{1: {}}, kept: make(map[watch.Stream]int64)}
}

func (s *logStore) log(name watch.Stream) []watch.Record { return s.logs[s.incarnation][name] }

func (s *logStore) put(name watch.Stream, key string, value []byte) watch.Record {
	r := watch.Record{Key: key, Value: value, Offset: int64(len(s.log(name))), Incarnation: s.incarnation}
	s.logs[s.incarnation][name] = append(s.log(name), r)
	return r
}

// restore begins an incarnation with all but the last records of each stream.
func (s *logStore) restore(rng *rand.Rand) {
	next := make(map[watch.Stream][]watch.Record)
	for name, records := range s.logs[s.incarnation] {
		kept := slices.Clone(records[:len(records)-rng.IntN(min(len(records), 5)+1)])
		for i := range kept {
			kept[i].Incarnation = s.incarnation + 1
		}
		next[name] = kept
	}
	s.incarnation++
	s.logs[s.incarnation] = next
	clear(s.kept)
}

// newestBefore returns the newest record of each key before a mark.
func (s *logStore) newestBefore(name watch.Stream, m watch.Mark) map[string]watch.Record {
	out := make(map[string]watch.Record)
	for _, r := range s.logs[m.Incarnation][name][:m.End] {
		out[r.Key] = r
	}
	return out
}

// storePage is an answer of the store.
type storePage struct {
	name    watch.Stream
	from    int64
	listing bool
	page    watch.Page
}

// answer returns the answer to a read from a mark, or to a listing.
func (s *logStore) answer(name watch.Stream, m watch.Mark, list bool) storePage {
	end := int64(len(s.log(name)))
	a := storePage{name: name, from: m.End, page: watch.Page{End: end, Incarnation: s.incarnation}}
	if list || m.End < s.kept[name] || m.End > end || m.Incarnation != s.incarnation {
		a.listing = true
		for _, r := range s.newestBefore(name, watch.Mark{Incarnation: s.incarnation, End: end}) {
			if r.Value != nil {
				a.page.Records = append(a.page.Records, r)
			}
		}
		return a
	}
	a.page.Records = slices.Clone(s.log(name)[m.End:])
	return a
}

// replicaMessage is an update or, with marks, a request for one.
type replicaMessage struct {
	update watch.Snapshot
	marks  map[watch.Stream]watch.Mark
}

// replicaLink is the connection of a host to one that it is attached to. Messages arrive in
// order, after any time.
type replicaLink struct {
	up, down []replicaMessage
	// sentSeq and sentMarks tell what was sent down, upSeq what was sent up.
	sentSeq   int
	sentMarks map[watch.Stream]watch.Mark
	upSeq     int
}

// replicaModel plays one random history of hosts that read the store and send each other
// updates as Replicator does.
type replicaModel struct {
	rng   *rand.Rand
	now   time.Time
	store *logStore
	hosts []*watch.State
	// links holds the links by the attached host and the one that it is attached to.
	links map[[2]int]*replicaLink
	// answers holds the answers of the store that have not arrived, by host.
	answers map[int][]storePage
	value   int
}

func newReplicaModel(seed uint64, hosts int) *replicaModel {
	m := &replicaModel{
		rng: rand.New(rand.NewPCG(seed, 46)), now: start, store: newLogStore(),
		links: make(map[[2]int]*replicaLink), answers: make(map[int][]storePage),
	}
	for range 6 {
		m.write()
	}
	for range hosts {
		m.hosts = append(m.hosts, watch.NewState(decoder{}, zap.NewNop()))
	}
	return m
}

func (m *replicaModel) stream() watch.Stream {
	return watch.Streams()[m.rng.IntN(len(watch.Streams()))]
}

// key returns the key of a target, of a shared record, or of an order of a rollout.
func (m *replicaModel) key(name watch.Stream) string {
	n := m.rng.IntN(replicationKeys)
	switch name {
	case watch.Configs:
		return fmt.Sprintf("rollout/s%d", n)
	case watch.Hosts:
		return fmt.Sprintf("/shared/r%d", n)
	default:
		return fmt.Sprintf("t%d", n)
	}
}

// write writes or removes a key.
func (m *replicaModel) write() (watch.Stream, watch.Record) {
	name := m.stream()
	key := m.key(name)
	if m.rng.IntN(2) == 0 {
		return name, m.store.put(name, key, nil)
	}
	m.value++
	return name, m.store.put(name, key, fmt.Appendf(nil, "a%d;start=%d;sequence=1", m.value, m.value))
}

func (m *replicaModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(800)) * time.Millisecond)
	host := m.rng.IntN(len(m.hosts))
	switch m.rng.IntN(20) {
	case 0, 1, 2, 3:
		m.write()
	case 4:
		name, r := m.write()
		m.hosts[host].ApplyOwn(m.now, name, r)
	case 5, 6, 7:
		name := m.stream()
		m.answers[host] = append(m.answers[host], m.store.answer(name, m.hosts[host].Mark(name), m.rng.IntN(5) == 0))
	case 8, 9, 10:
		m.takeAnswer(host)
	case 11, 12:
		m.attach(host, m.rng.IntN(len(m.hosts)))
	case 13, 14, 15, 16:
		m.exchange()
	case 17:
		name := m.stream()
		m.store.kept[name] = int64(m.rng.IntN(len(m.store.log(name)) + 1))
	case 18:
		switch {
		case m.rng.IntN(30) == 0:
			for all := range m.hosts {
				m.restart(all)
			}
		case m.rng.IntN(3) == 0:
			m.restart(host)
		}
	case 19:
		if m.rng.IntN(12) == 0 {
			m.store.restore(m.rng)
		}
	}
	for _, h := range m.hosts {
		h.ApplyHeldRemovals(m.now)
	}
}

// takeAnswer applies one of the answers of the store that a host waits for.
func (m *replicaModel) takeAnswer(host int) {
	waiting := m.answers[host]
	if len(waiting) == 0 {
		return
	}
	i := m.rng.IntN(len(waiting))
	a := waiting[i]
	m.answers[host] = slices.Delete(waiting, i, i+1)
	h := m.hosts[host]
	if a.listing {
		h.ApplyListing(m.now, a.name, a.page)
		return
	}
	h.Apply(m.now, a.name, a.from, a.page)
}

func (m *replicaModel) attach(host, to int) {
	if host == to {
		return
	}
	first := m.hosts[to].After(m.hosts[host].Marks())
	lacking := m.hosts[host].After(first.Marks())
	m.links[[2]int{host, to}] = &replicaLink{
		down: []replicaMessage{{update: first}}, up: []replicaMessage{{update: lacking}},
		sentSeq: first.Seq, sentMarks: first.Marks(), upSeq: lacking.Seq,
	}
}

// exchange sends or delivers an update over one link.
func (m *replicaModel) exchange() {
	ends := slices.SortedFunc(maps.Keys(m.links), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	if len(ends) == 0 {
		return
	}
	end := ends[m.rng.IntN(len(ends))]
	l, host, to := m.links[end], m.hosts[end[0]], m.hosts[end[1]]
	switch m.rng.IntN(6) {
	case 0:
		next := to.Since(l.sentSeq, l.sentMarks)
		l.sentSeq, l.sentMarks = next.Seq, next.Marks()
		l.down = append(l.down, replicaMessage{update: next})
	case 1:
		next := host.StoreReadsSince(l.upSeq)
		l.upSeq = next.Seq
		l.up = append(l.up, replicaMessage{update: next})
	case 2, 3:
		l.down, l.up = m.deliver(host, l.down, l.up)
	default:
		l.up, l.down = m.deliver(to, l.up, l.down)
	}
}

// deliver delivers the first message that waits for a host and returns the messages that
// wait then, and those that wait for its sender.
func (m *replicaModel) deliver(h *watch.State, waiting, replies []replicaMessage) (rest, sent []replicaMessage) {
	if len(waiting) == 0 {
		return waiting, replies
	}
	next := waiting[0]
	if next.marks != nil {
		return waiting[1:], append(replies, replicaMessage{update: h.After(next.marks)})
	}
	h.ApplyDepartures(next.update.Departures)
	for _, c := range h.ApplyUpdate(m.now, next.update.Changes, next.update.Spans) {
		if c.Missing() {
			return waiting[1:], append(replies, replicaMessage{marks: h.Marks()})
		}
	}
	return waiting[1:], replies
}

// restart replaces a host by one that has listed some of the streams.
func (m *replicaModel) restart(host int) {
	m.hosts[host] = watch.NewState(decoder{}, zap.NewNop())
	delete(m.answers, host)
	maps.DeleteFunc(m.links, func(ends [2]int, _ *replicaLink) bool { return ends[0] == host || ends[1] == host })
	for _, name := range watch.Streams() {
		if m.rng.IntN(4) > 0 {
			m.hosts[host].ApplyListing(m.now, name, m.store.answer(name, watch.Mark{}, true).page)
		}
	}
}

// check returns a key of which a host has another value than the store had at the end of
// what the host claims to know.
func (m *replicaModel) check(host int) error {
	known := make(map[watch.Stream]map[string]watch.Record)
	for _, c := range m.hosts[host].After(nil).Changes {
		if known[c.Stream] == nil {
			known[c.Stream] = make(map[string]watch.Record)
		}
		known[c.Stream][c.Record.Key] = c.Record
	}
	for name, mark := range m.hosts[host].Marks() {
		if mark.End < 0 {
			continue
		}
		end := watch.Position{Incarnation: mark.Incarnation, Offset: mark.End}
		newest := m.store.newestBefore(name, mark)
		for n := range replicationKeys {
			key := map[watch.Stream]string{watch.Configs: "rollout/s%d", watch.Hosts: "/shared/r%d", watch.Targets: "t%d"}[name]
			key = fmt.Sprintf(key, n)
			got, want := known[name][key], newest[key]
			lostByRestore := name == watch.Configs && got.Value != nil && got.Incarnation < mark.Incarnation
			if lostByRestore || got.Key != "" && !got.Position().Before(end) {
				continue
			}
			if !bytes.Equal(got.Value, want.Value) {
				return fmt.Errorf("%s up to %+v: key %s is %q of offset %d, in the store %q of offset %d", name, mark, key, got.Value, got.Offset, want.Value, want.Offset)
			}
		}
	}
	return nil
}

func TestHostsThatCountAsUpToDateKnowWhatTheStoreHolds(t *testing.T) {
	for _, hosts := range []int{2, 4, 13, 134} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			failed := 0
			for seed := range uint64(max(*replicationHistories/hosts/hosts, 1)) {
				m := newReplicaModel(seed, hosts)
				if err := m.play(); err != nil {
					failed++
					t.Logf("seed %d, %v", seed, err)
				}
			}
			if failed > 0 {
				t.Errorf("%d histories failed", failed)
			}
		})
	}
}

// play plays a history and checks a few hosts after each step, all of them in turn.
func (m *replicaModel) play() error {
	for step := range replicationSteps * len(m.hosts) / 2 {
		m.step()
		for n := range min(len(m.hosts), checkedHosts) {
			host := (step*checkedHosts + n) % len(m.hosts)
			if err := m.check(host); err != nil {
				return fmt.Errorf("step %d, host %d: %w", step, host, err)
			}
		}
	}
	return nil
}
