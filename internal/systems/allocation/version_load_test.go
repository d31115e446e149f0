package allocation_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// The simulated streams: their targets have versionedSlots slots each, and a stream
// takes from minEvents to maxEvents events.
const (
	versionedTargets = 12
	versionedSlots   = 16
	minEvents        = 20
	maxEvents        = 140
	streamGapMS      = 25
	streamHosts      = 8
	// hostLossMS is the time until the coordinator knows that a host has died.
	hostLossMS     = 1000
	streamAttempts = 3
	streamPrompt   = 600
	streamMaxWait  = 1500 * time.Millisecond
	streamSLO      = 400 * time.Millisecond
)

// stream is a stream of a caller, over all its attempts.
type stream struct {
	host     tables.HostID
	tier     int
	events   int
	version  tables.SoftwareVersion
	resumed  bool
	attempts int
	grant    allocation.ID
	// counted is where the outcome counts; nil if it doesn't.
	counted *shares
	done    bool
}

// shares counts streams that arrived or came back, and those of them that went on.
type shares struct{ offered, served int }

func (s *shares) share() float64 { return float64(s.served) / float64(max(s.offered, 1)) }

// versionedLoad plays streams of two software versions in virtual time.
type versionedLoad struct {
	scheduler *allocation.Scheduler
	random    *rand.Rand
	nowMS     int
	nextID    allocation.ID
	versions  map[tables.TargetID]tables.SoftwareVersion
	leaving   map[tables.TargetID]bool
	dead      map[tables.HostID]bool
	streams   []*stream
	byRequest map[allocation.ID]*stream
	// firstByteAt is when each target will have sent the first bytes of all its
	// streams, in ms.
	firstByteAt map[tables.TargetID]int
	due         map[int][]func()
	// fresh counts the streams that begin after the hosts died, resumed those that
	// come back, by the version that began them.
	fresh   *shares
	resumed map[tables.SoftwareVersion]*shares
	joined  int
}

// newVersionedLoad returns a load on targets of which the first v1 have version v1 and
// the others v2.
func newVersionedLoad(seed uint64, v1 int) *versionedLoad {
	l := &versionedLoad{
		random: rand.New(rand.NewPCG(seed, 2)), versions: make(map[tables.TargetID]tables.SoftwareVersion),
		leaving: make(map[tables.TargetID]bool), dead: make(map[tables.HostID]bool),
		byRequest: make(map[allocation.ID]*stream), firstByteAt: make(map[tables.TargetID]int), due: make(map[int][]func()),
		resumed: map[tables.SoftwareVersion]*shares{"v1": {}, "v2": {}},
	}
	l.scheduler = allocation.NewScheduler(l.random.Float64)
	for i := range versionedTargets {
		version := tables.SoftwareVersion("v2")
		if i < v1 {
			version = "v1"
		}
		l.versions[tables.TargetID(fmt.Sprintf("t%02d", i))] = version
	}
	l.setTargets()
	return l
}

func (l *versionedLoad) setTargets() {
	var list []fleet.Target
	for id, version := range l.versions {
		list = append(list, fleet.Target{ID: id, Service: "model", Address: string(id), Domain: "a", Slots: versionedSlots, Version: version, Leaving: l.leaving[id]})
	}
	l.scheduler.SetTargets(list)
}

// replaceV1 lets all targets of version v1 but keep leave, and as many targets of
// version v2 start.
func (l *versionedLoad) replaceV1(keep int) {
	for i := keep; i < versionedTargets; i++ {
		id := tables.TargetID(fmt.Sprintf("t%02d", i))
		if l.versions[id] == "v1" {
			l.leaving[id] = true
			l.versions["new-"+id] = "v2"
		}
	}
	l.setTargets()
}

// killHosts lets half of the hosts die. The callers of their streams come back at
// other hosts.
func (l *versionedLoad) killHosts() {
	l.fresh = &shares{}
	for i := range streamHosts / 2 {
		host := tables.HostID(fmt.Sprint("h", i))
		l.dead[host] = true
		l.after(hostLossMS, func() { l.scheduler.RemoveHost(at(l.nowMS), host) })
	}
	for _, s := range l.streams {
		if s.done || !l.dead[s.host] {
			continue
		}
		s.grant, s.attempts = 0, 0
		if s.version == "" {
			// Nothing has come yet; such callers come back as new ones, uncounted.
			s.done = true
			continue
		}
		s.resumed, s.counted = true, l.resumed[s.version]
		s.counted.offered++
		l.after(50+l.random.IntN(250), func() { l.attempt(s) })
	}
}

func (l *versionedLoad) after(ms int, f func()) {
	at := l.nowMS + max(ms, 1)
	l.due[at] = append(l.due[at], f)
}

// run plays arrivals at load times the capacity until a time in ms.
func (l *versionedLoad) run(untilMS int, load float64) {
	meanMS := float64(minEvents+maxEvents) / 2 * streamGapMS
	perMS := load * versionedTargets * versionedSlots / meanMS
	for ; l.nowMS < untilMS; l.nowMS++ {
		due := l.due[l.nowMS]
		delete(l.due, l.nowMS)
		for _, f := range due {
			f()
		}
		if l.random.Float64() < perMS {
			l.arrive()
		}
		for _, d := range l.scheduler.Schedule(at(l.nowMS)) {
			l.handle(d)
		}
	}
}

func (l *versionedLoad) arrive() {
	s := &stream{events: minEvents + l.random.IntN(maxEvents-minEvents), counted: l.fresh}
	if l.random.Float64() < 0.6 {
		s.tier = 1
	}
	if s.counted != nil {
		s.counted.offered++
	}
	l.streams = append(l.streams, s)
	l.attempt(s)
}

func (l *versionedLoad) attempt(s *stream) {
	s.attempts++
	for s.host == "" || l.dead[s.host] {
		s.host = tables.HostID(fmt.Sprint("h", l.random.IntN(streamHosts)))
	}
	l.nextID++
	s.grant = l.nextID
	l.byRequest[s.grant] = s
	l.scheduler.Enqueue(&allocation.SlotRequest{
		ID: s.grant, Host: s.host, Service: "model", Domain: "a", Tier: s.tier, PromptTokens: streamPrompt, EventGapSLO: 250 * time.Millisecond,
		ArrivedAt: at(l.nowMS), FirstByteDue: at(l.nowMS).Add(streamSLO), QueueDeadline: at(l.nowMS).Add(streamMaxWait),
		Retried: s.attempts > 1, RetriedAsAdvised: s.attempts > 1,
		Resumed: s.resumed, VersionBound: s.resumed, Version: s.version,
	})
}

func (l *versionedLoad) handle(d allocation.Decision) {
	s := l.byRequest[d.Request.ID]
	delete(l.byRequest, d.Request.ID)
	switch {
	case s.grant != d.Request.ID:
		// The host that asked has died. The slot stays taken until RemoveHost.
	case d.Target != "":
		l.serve(s, d)
	case s.attempts < streamAttempts:
		l.after(int(d.RetryAfter.Milliseconds()), func() { l.attempt(s) })
	default:
		s.done = true
	}
}

// serve plays the response to a grant, until its host dies.
func (l *versionedLoad) serve(s *stream, d allocation.Decision) {
	id, version := d.Request.ID, l.versions[d.Target]
	if d.Version != version || (s.resumed && s.version != version) {
		l.joined++
	}
	prefilled := max(l.firstByteAt[d.Target], l.nowMS) + streamPrompt/int(prefillTokensPerMS) + 1
	l.firstByteAt[d.Target] = prefilled
	firstByteMS := prefilled + baseFirstByteMS - l.nowMS
	sentMS := l.nowMS
	l.after(firstByteMS, func() {
		if s.grant != id {
			return
		}
		s.version = version
		l.scheduler.RecordFirstByte(at(l.nowMS), id, time.Duration(l.nowMS-sentMS)*time.Millisecond)
		if s.counted != nil {
			s.counted.served++
		}
		l.nextEvent(s, id)
	})
}

// nextEvent plays the events of a stream one by one, so that a stream that comes back
// has the rest of them left.
func (l *versionedLoad) nextEvent(s *stream, id allocation.ID) {
	l.after(streamGapMS, func() {
		if s.grant != id {
			return
		}
		s.events--
		if s.events > 0 {
			l.nextEvent(s, id)
			return
		}
		s.done = true
		l.scheduler.RecordEventGap(id, streamGapMS*time.Millisecond)
		l.scheduler.Release(at(l.nowMS), id, allocation.Succeeded)
	})
}

var _ = Describe("A load of streams that come back to two software versions", func() {
	const (
		deathMS = 8_000
		// Streams that arrive until countedMS count; all of these have begun or were
		// given up at endMS.
		countedMS    = 14_000
		endMS        = 30_000
		overload     = 1.3
		minResumed   = 10
		minNewShare  = 0.5
		resumedRatio = 0.5
	)
	for _, seed := range []uint64{1, 2, 3, 4} {
		DescribeTable(fmt.Sprintf("goes on at least half as often as new ones begin, seed %d", seed),
			func(v1, keep int) {
				l := newVersionedLoad(seed, v1)
				l.run(deathMS, overload)
				l.replaceV1(keep)
				l.killHosts()
				l.run(countedMS, overload)
				fresh := l.fresh
				l.fresh = nil
				l.run(endMS, overload)
				Expect(l.open(fresh)).To(BeZero())
				AddReportEntry("shares", fmt.Sprintf("new %.2f of %d, v1 %.2f of %d, v2 %.2f of %d", fresh.share(), fresh.offered,
					l.resumed["v1"].share(), l.resumed["v1"].offered, l.resumed["v2"].share(), l.resumed["v2"].offered))
				Expect(l.joined).To(BeZero())
				Expect(fresh.share()).To(BeNumerically(">", minNewShare))
				for version, resumed := range l.resumed {
					Expect(resumed.offered).To(BeNumerically(">=", minResumed), "version %s", version)
					Expect(resumed.share()).To(BeNumerically(">=", resumedRatio*fresh.share()), "version %s", version)
				}
			},
			Entry("six of 12 targets have the version", 6, 6),
			Entry("two of 12 targets have the version", 2, 2),
			Entry("two of 12 targets have the version left, after six others", 8, 2),
		)
	}
})

// open returns the number of counted new streams that have neither begun nor been given up.
func (l *versionedLoad) open(counted *shares) int {
	n := 0
	for _, s := range l.streams {
		if s.counted == counted && !s.done && s.version == "" {
			n++
		}
	}
	return n
}
