package capacity

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// Rates and intervals of the system. The constant that sets a value is given in
// parentheses.
const (
	// listReadsPerSec is the number of reads of the host list per second by each
	// process that reads it (members.listInterval).
	listReadsPerSec = 1
	// heartbeatIntervalPerHost, minHeartbeatInterval and maxHeartbeatInterval determine
	// the interval between two heartbeats of a process (the constants of the same names
	// in package members).
	heartbeatIntervalPerHost = 10 * time.Millisecond
	minHeartbeatInterval     = 1 * time.Second
	maxHeartbeatInterval     = 4 * time.Second
	// idleTimeout is how long an unused peer connection stays open
	// (peer.idleTimeout).
	idleTimeout = 60 * time.Second
	// snapshotsPerHour is the number of configuration snapshots per hour at the
	// default retention of two hours (BLUEBELL_LOG_RETENTION divided by
	// follow.snapshotAgeDivisor is the maximum age of a snapshot).
	snapshotsPerHour = 2
	// messagesPerReport is the number of times that a process sends or receives one
	// membership report.
	messagesPerReport = 8
	// base64Growth is the size of a record in the JSON pages of the log, which encode
	// records in base64, relative to its own size.
	base64Growth = 4.0 / 3
	// listingsPerRestart is the number of changes of the host list per restart of a
	// host: the host leaves and joins.
	listingsPerRestart = 2
	secondsPerDay      = 24 * 60 * 60
	// idleFeedPollsPerSec is the number of responses per second to the feed polls of a
	// process while nothing changes: one after each read of the host list.
	idleFeedPollsPerSec = listReadsPerSec
	// streamPollTimeout is how long a read of the configuration stream
	// (logread.LongPollWait) or of a claim stream (claims.readPollTimeout) waits for a
	// record.
	streamPollTimeout = 5 * time.Second
	// quarantinePollTimeout is how long a read of the quarantine stream waits for a
	// record (quarantine.readPollTimeout).
	quarantinePollTimeout = 30 * time.Second
	// engineReadInterval is the interval between two reads of an engine's cache events
	// (dispatcher.watchInterval).
	engineReadInterval = 2 * time.Second
	// stateReadInterval is the interval between two reads of the state of an engine
	// that has all its services loaded (dispatcher.slowRounds times
	// dispatcher.watchInterval).
	stateReadInterval = 5 * engineReadInterval
)

// Row is the cost of one mechanism for one node.
type Row struct {
	Mechanism string
	// Load describes the load that the costs are computed from.
	Load string
	// CoreShare is the processor time, as a share of one core.
	CoreShare float64
	// BytesPerSec is the traffic of the node with other nodes and the platform, and
	// LocalBytesPerSec the traffic between the processes of the node.
	BytesPerSec      float64
	LocalBytesPerSec float64
	MemoryBytes      float64
}

// ControlRows returns the costs of the control plane for one node at size s.
func ControlRows(s Size, m Slopes) []Row {
	processes, readers := float64(s.ProcessesPerNode), float64(s.ReadersPerNode)
	reads := readers * listReadsPerSec
	exchanges := 2 * readers / heartbeatInterval(s).Seconds()
	changes := s.ChangesPerDay / secondsPerDay
	snapshots := float64(snapshotsPerHour) / time.Hour.Seconds()
	listings := listingsPerRestart * s.RestartsPerDay / secondsPerDay
	connections := connectionEnds(s)
	// wire.heartbeat_bytes was measured with full reports in both directions.
	// Heartbeats carry no reports while nothing changes.
	heartbeatBytes := m.Value("wire.heartbeat_bytes") - 2*m.Value("members.reports_bytes")
	return []Row{
		{
			Mechanism: "host list", Load: fmt.Sprintf("%g of %g processes asks for it %d times a second and gets it when it has changed", readers, processes, listReadsPerSec),
			CoreShare:   reads*m.Value("members.unchanged_time") + processes*listings*m.Value("members.take_listing"),
			BytesPerSec: reads*m.Value("members.unchanged_bytes") + readers*listings*m.Value("members.listing_bytes"),
			MemoryBytes: processes * m.Value("members.table_memory"),
		},
		{
			Mechanism: "heartbeats", Load: fmt.Sprintf("%g exchanges a second, half of them asked by others; one process asks every %s", exchanges, heartbeatInterval(s)),
			CoreShare:   exchanges * (m.Value("wire.heartbeat_time")/2 + m.Value("members.take_heartbeat")),
			BytesPerSec: exchanges*heartbeatBytes + readers*listings*messagesPerReport*m.Value("members.reports_bytes")/maxReports,
		},
		{
			Mechanism: "new connections", Load: fmt.Sprintf("one for each exchange, because a partner comes again after %s", heartbeatInterval(s)*time.Duration(s.Nodes)),
			CoreShare: exchanges * m.Value("wire.dial_time") / 2, BytesPerSec: exchanges * m.Value("wire.dial_bytes"),
		},
		feedRow(s, m, exchanges, changes, listings, snapshots),
		streamRow(s, m),
		leaseRow(s, m),
		engineRow(s, m),
		{
			Mechanism: "changes of configuration", Load: fmt.Sprintf("%.3f a second, folded by %g processes", changes, processes),
			CoreShare:   changes * (processes*m.Value("config.fold_patch") + 2*m.Value("config.index_keys")),
			BytesPerSec: readers * changes * m.Value("config.patch_record") * base64Growth,
			MemoryBytes: processes * m.Value("config.state_memory"),
		},
		{
			Mechanism: "configuration snapshots", Load: fmt.Sprintf("%d an hour, read by %g and passed on to %g processes", snapshotsPerHour, readers, processes-readers),
			CoreShare: processes * snapshots * m.Value("config.fold_snapshot"), BytesPerSec: readers * snapshots * m.Value("config.snapshot_record") * base64Growth,
		},
		{
			Mechanism: "owners of targets", Load: fmt.Sprintf("%.4f changes of the list a second, worked out by %g processes", listings, processes),
			CoreShare: processes * listings * m.Value("members.assign_targets"),
		},
		{
			Mechanism: "idle processes", Load: "timers, polls of 2 engines, and lists and heartbeats of 24 hosts; stand-ins included",
			CoreShare: m.Value("host.idle_core_of_24"),
		},
		{
			Mechanism: "peer connections", Load: fmt.Sprintf("%.0f ends for heartbeats and requests within %s", connections, idleTimeout),
			MemoryBytes: connections * m.Value("wire.connection_memory"),
		},
	}
}

// feedRow returns the cost of the feed that supplies the host list, the log and the
// heartbeats to the processes of a node that do not read them themselves.
func feedRow(s Size, m Slopes, exchanges, changes, listings, snapshots float64) Row {
	pollers := float64(s.ProcessesPerNode - s.ReadersPerNode)
	polls := idleFeedPollsPerSec + changes + listings + snapshots
	heartbeat := m.Value("members.heartbeat_bytes") - m.Value("members.reports_bytes")
	records := changes*m.Value("config.patch_record") + snapshots*m.Value("config.snapshot_record")
	return Row{
		Mechanism: "feed within the node", Load: fmt.Sprintf("%g processes poll the dispatcher %.2f times a second", pollers, polls),
		CoreShare: pollers * polls * (m.Value("feed.poll_time") + 2*m.Value("members.take_heartbeat")),
		LocalBytesPerSec: pollers * (polls*m.Value("feed.poll_bytes") +
			exchanges*(heartbeat+m.Value("feed.row_bytes")) +
			records*base64Growth + listings*m.Value("members.listing_bytes")),
	}
}

// streamRow returns the cost of the polls for new records of the configuration, claim
// and quarantine streams while there are none. Two processes of a node read the
// quarantine stream.
func streamRow(s Size, m Slopes) Row {
	streams := float64(s.ReadersPerNode) + float64(claims.DefaultShards)/float64(s.Nodes)
	polls := streams/streamPollTimeout.Seconds() + 2/quarantinePollTimeout.Seconds()
	return Row{
		Mechanism: "ends of streams", Load: fmt.Sprintf("%.2f reads a second of configuration, claims and quarantine", polls),
		BytesPerSec: polls * m.Value("log.poll_bytes"),
	}
}

// Rates at which the holder of a lease appends renewals and demand reports.
var (
	renewalsPerSec = 1 / lease.RenewInterval.Seconds()
	reportsPerSec  = 1 / lease.DemandInterval.Seconds()
)

// leaseRow returns the cost of the leases of the failure domains. Each controller reads
// every renewal of the lease of its own failure domain. The cost for the holders, which
// append renewals and demand reports and read the reports of all failure domains, is
// spread evenly over all nodes.
func leaseRow(s Size, m Slopes) Row {
	domains := float64(s.FailureDomains)
	return Row{
		Mechanism: "leases", Load: fmt.Sprintf("%.3g renewals a second of the own failure domain read, and 1/%.0f of what a holder writes and reads", renewalsPerSec, float64(s.Nodes)/domains),
		BytesPerSec: renewalsPerSec*m.Value("lease.read_bytes") + holderBytes(s, m)*domains/float64(s.Nodes),
	}
}

// holderBytes returns the traffic of the holder of a lease in bytes per second, without
// the reads of renewals.
func holderBytes(s Size, m Slopes) float64 {
	return (renewalsPerSec+reportsPerSec)*m.Value("lease.append_bytes") + reportsPerSec*float64(s.FailureDomains)*m.Value("lease.report_bytes")
}

// engineRow returns the cost of the reads of the cache events and the state of the
// engines that a dispatcher owns, while nothing changes.
func engineRow(s Size, m Slopes) Row {
	engines := float64(s.Engines) / float64(s.Nodes)
	return Row{
		Mechanism: "reports of engines", Load: fmt.Sprintf("cache events of %.1f engines every %s and what they hold every %s, without news", engines, engineReadInterval, stateReadInterval),
		BytesPerSec: engines * (m.Value("engine.events_bytes")/engineReadInterval.Seconds() + m.Value("engine.state_bytes")/stateReadInterval.Seconds()),
	}
}

// RequestRows returns the costs of a node's even share of the requests at size s.
func RequestRows(s Size, m Slopes) []Row {
	requests := s.RequestsPerSec / float64(s.Nodes)
	tokens := s.TokensPerSec / float64(s.Nodes)
	keyed := s.RequestsPerSec / claims.DefaultShards
	record := m.Value("claims.claim_bytes") + m.Value("claims.outcome_bytes")
	heldKeys := keyed * claims.DefaultWindow.Seconds()
	return []Row{
		{
			Mechanism: "requests", Load: fmt.Sprintf("%.2f a second through gate and dispatcher, caller and engine stand-ins included", requests),
			CoreShare: requests * m.Value("path.request"),
		},
		{
			Mechanism: "choice of a dispatcher", Load: fmt.Sprintf("%.2f a second: find the key, rate %d views", requests, s.enginesPerModel()),
			CoreShare: requests * (m.Value("gate.find_key") + m.Value("gate.pick")),
		},
		{
			Mechanism: "answer tokens", Load: fmt.Sprintf("%.0f a second, each in a chunk of its own, sent by a dispatcher and taken by a gate", tokens),
			CoreShare: tokens * m.Value("path.token"), BytesPerSec: 2 * tokens * m.Value("wire.chunk_bytes"),
		},
		{
			Mechanism: "claims, at the home of a shard", Load: fmt.Sprintf("%.1f keyed requests a second if all have keys, written and read back; keys held for %s", keyed, claims.DefaultWindow),
			CoreShare:   keyed * m.Value("claims.fold"),
			BytesPerSec: keyed * record * (1 + base64Growth),
			MemoryBytes: heldKeys * m.Value("claims.key_memory"),
		},
	}
}

// heartbeatInterval returns the interval between two heartbeats of a process, without
// jitter and while no reports are queued.
func heartbeatInterval(s Size) time.Duration {
	return min(max(heartbeatIntervalPerHost*time.Duration(s.Nodes), minHeartbeatInterval), maxHeartbeatInterval)
}

// connectionEnds returns the number of open ends of peer connections at a node: those of
// the connections that it opens to other nodes for heartbeats and requests, as many that
// other nodes open to it, and both ends of the feed connections within the node.
func connectionEnds(s Size) float64 {
	others := float64(s.Nodes - 1)
	heartbeats := min(others, idleTimeout.Seconds()/heartbeatInterval(s).Seconds())
	requests := expectedDistinct(others, s.RequestsPerSec/float64(s.Nodes)*idleTimeout.Seconds())
	return 2 * (float64(s.ReadersPerNode)*heartbeats + requests + float64(s.ProcessesPerNode-s.ReadersPerNode))
}

// expectedDistinct returns the expected number of distinct items in the given number of
// random draws, with replacement, from n items.
func expectedDistinct(n, draws float64) float64 {
	return n * (1 - math.Pow(1-1/n, draws))
}

// Total returns the sums of the costs of rows.
func Total(rows []Row) Row {
	var sum Row
	for _, r := range rows {
		sum.CoreShare += r.CoreShare
		sum.BytesPerSec += r.BytesPerSec
		sum.LocalBytesPerSec += r.LocalBytesPerSec
		sum.MemoryBytes += r.MemoryBytes
	}
	return sum
}

// HolderTotal returns the sums of the control rows for a node that holds the lease of a
// failure domain. It contains the whole cost of a holder instead of an even share of the
// cost of all holders.
func HolderTotal(s Size, m Slopes) Row {
	sum := Total(ControlRows(s, m))
	share := float64(s.FailureDomains) / float64(s.Nodes)
	sum.BytesPerSec += (1 - share) * holderBytes(s, m)
	return sum
}

// WriteBudget writes a Markdown page with the costs of one node at size s.
func WriteBudget(w io.Writer, s Size, m Slopes) error {
	p := &page{w: w}
	p.print("# What one node spends at the target size\n\n")
	p.print("Generated by `make capacity` from `slopes.csv`. A node is a host with its three\nprocesses. `%d` nodes, `%d` engines, `%g` requests and `%g` tokens a second,\n`%g` changes a day.\n\n", s.Nodes, s.Engines, s.RequestsPerSec, s.TokensPerSec, s.ChangesPerDay)
	p.print("## Control\n\n")
	control := ControlRows(s, m)
	p.rows(control)
	p.total("sum", Total(control))
	p.total("sum on a node that holds a lease", HolderTotal(s, m))
	limit := TargetBudget()
	p.total("**budget**", Row{CoreShare: limit.CoreShare, BytesPerSec: limit.BytesPerSec, MemoryBytes: limit.MemoryBytes})
	p.print("\nThe budget of bytes is for what passes between nodes and to and from the platform;\nwhat passes between the processes of a node, on its loopback, has a column of its\nown. Bytes are those of the connections, without TCP headers.\n\nThe memory is heap and stacks; the Go runtime and the program text of three\nprocesses come on top, see `docs/CAPACITY.md`.\n\n## Requests\n\n")
	p.rows(RequestRows(s, m))
	return p.err
}

// page writes Markdown. After the first error it writes nothing more.
type page struct {
	w   io.Writer
	err error
}

func (p *page) print(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *page) rows(rows []Row) {
	p.print("| work | load | %% of a core | bytes/s | bytes/s within the node | memory in MB |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		p.print("| %s | %s | %s | %s | %s | %s |\n", r.Mechanism, r.Load, formatNumber(r.CoreShare*100), formatNumber(r.BytesPerSec), formatNumber(r.LocalBytesPerSec), formatNumber(r.MemoryBytes/1e6))
	}
}

func (p *page) total(name string, r Row) {
	p.print("| %s | | %s | %s | %s | %s |\n", name, formatNumber(r.CoreShare*100), formatNumber(r.BytesPerSec), formatNumber(r.LocalBytesPerSec), formatNumber(r.MemoryBytes/1e6))
}

// formatNumber formats x with three significant digits, or as an integer from 1000 on.
// Zero becomes an empty string.
func formatNumber(x float64) string {
	if x == 0 {
		return ""
	}
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
