package capacity

import (
	"encoding/json"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxReports is the maximum number of reports in one heartbeat (members.maxReports).
const maxReports = 8

// measureMemberSlopes measures the costs of the membership table for one process.
func measureMemberSlopes(s Size) ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0)
	listing := s.listing()
	data, err := json.Marshal(listing)
	if err != nil {
		return nil, err
	}
	table := s.memberTable(now)
	memory := memoryOf(func() any { return s.memberTable(now) })
	heartbeat := s.heartbeat()
	hosts := table.Live(now)
	targets := s.targets()
	message, err := json.Marshal(heartbeat)
	if err != nil {
		return nil, err
	}
	reports, err := json.Marshal(heartbeat.Reports)
	if err != nil {
		return nil, err
	}
	m := &meter{}
	if err := addListingSlopes(s, m); err != nil {
		return nil, err
	}
	m.add("members.heartbeat_bytes", float64(len(message)), Bytes, "heartbeat, one way", "JSON with 3 pool summaries and 8 reports")
	m.add("members.reports_bytes", float64(len(reports)), Bytes, "heartbeat, one way", "JSON of its 8 reports")
	m.add("members.listing_bytes", float64(len(data)), Bytes, "read of the host list", "JSON at the target size")
	m.add("members.table_memory", memory, Bytes, "process", "heap of the table at the target size")
	m.addTime("members.take_listing", "read of the host list", "decoding, Table.List and Table.Tick", func() {
		var l ports.Listing
		_ = json.Unmarshal(data, &l)
		table.ApplyListing(now, l)
		table.Tick(now)
	})
	m.addTime("members.take_heartbeat", "heartbeat", "Table.Heard, Merge of 8 reports and Tick", func() {
		table.RecordContact(now, membership.Contact{Host: "entry-007", Incarnation: 1, Sequence: 1})
		table.ApplyReports(now, heartbeat.Reports)
		table.Tick(now)
	})
	m.addTime("members.assign_targets", "change of hosts", "owner.Of for every engine", func() {
		for i := range s.Engines {
			owner.Of(targets[i].ID, targets[i].Domain, hosts)
		}
	})
	return m.result()
}

// memberTable returns a membership table of size s in which all hosts are live.
func (s Size) memberTable(now time.Time) *membership.Table {
	t := membership.New(now, s.host(0), false)
	t.ApplyListing(now, s.listing())
	for i := range s.Nodes {
		t.RecordContact(now, membership.Contact{Host: tables.HostID(hostName(i)), Incarnation: 1, Sequence: 1, ConfigVersion: 1})
	}
	t.Tick(now)
	return t
}

func (s Size) targets() []*tables.Target {
	out := make([]*tables.Target, s.Engines)
	for i := range out {
		out[i] = s.target(i)
	}
	return out
}

func (s Size) target(i int) *tables.Target {
	return &tables.Target{
		ID:       tables.TargetID(engineName(i)),
		Domain:   tables.DomainID(domainName(i % s.FailureDomains)),
		Services: map[tables.ServiceID]bool{tables.ServiceID(serviceName(i % s.Models)): true},
		Speed:    tables.Speed{PrefillTokensPerSecond: 8000, Step: 12 * time.Millisecond, StepPerSequence: 400 * time.Microsecond},
		Window:   32, WindowMin: 1, WindowMax: 32,
	}
}

// heartbeat returns a heartbeat of a dispatcher with the summaries of all its engines and
// the maximum number of reports.
func (s Size) heartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{Host: "entry-007", Incarnation: time.Unix(1_800_000_000, 0).UnixNano(), ConfigVersion: 123_456, ConfigDigest: 1 << 63, Sequence: 3, LowestConfigVersion: 123_456}
	for i := range s.enginesPerNode() {
		hb.Pool = append(hb.Pool, tables.TargetSummary{
			Target: tables.TargetID(engineName(i)), Free: 11, WaitMillis: 420, Slowdown: 1.125,
			QueuedByTier: make([]int, s.Tiers), RunningByTier: make([]int, s.Tiers),
		})
	}
	for i := range maxReports {
		h := s.host(i)
		hb.Reports = append(hb.Reports, tables.MemberReport{
			Host: h.ID, Incarnation: h.Incarnation, Sequence: 2, Domain: h.Domain, Address: h.PeerAddress, Listed: h.Listed,
		})
	}
	return hb
}

// enginesPerNode returns the mean number of engines that a dispatcher owns, rounded up.
func (s Size) enginesPerNode() int { return (s.Engines + s.Nodes - 1) / s.Nodes }
