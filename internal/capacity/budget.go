package capacity

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// Rates that the code sets; each names the constant it repeats.
const (
	// readsOfList is the number of reads of the host list a second by one
	// process (members.listInterval).
	readsOfList = 1
	// heartbeatIntervalPerHost, beatMin and beatMax give the time between two heartbeats of
	// a process (members.beatPerHost and its bounds).
	heartbeatIntervalPerHost = 10 * time.Millisecond
	minHeartbeatInterval     = 1 * time.Second
	maxHeartbeatInterval     = 4 * time.Second
	// idleConnection is how long an unused connection stays open
	// (peer.idleAfter).
	idleConnection = 60 * time.Second
	// snapshotsPerHour follows from the default retention of two hours
	// (BLUEBELL_LOG_RETENTION over follow.snapshotParts).
	snapshotsPerHour = 2
	// newsCopies is how often a process sends or gets one piece of news.
	newsCopies = 8
	// base64Growth is how JSON pages of the log carry records.
	base64Growth = 4.0 / 3
	// changesOfList is the number of listings that one restart changes: the
	// host leaves and joins.
	changesOfList = 2
	secondsPerDay = 24 * 60 * 60
	// pollsOfFeed is the number of answers that a fed process gets a second
	// without news: one after each read of the host list.
	pollsOfFeed = readsOfList
	// streamWait is how long a read of the configuration or a claim stream waits for a record (follow.readWait); quarantineWait is that of the
	// quarantine, which two processes read.
	streamWait     = 5 * time.Second
	quarantineWait = 30 * time.Second
	// engineReads is the time between two reads of an engine's reports
	// (dispatcher.watchPeriod).
	engineReads = 2 * time.Second
	// stateReads is the time between two reads of what an engine holds that has
	// all its services (dispatcher.slowRounds of them).
	stateReads = 5 * engineReads
)

// Row is what one mechanism costs a node.
type Row struct {
	Work string
	// Load is the arithmetic in words.
	Load string
	// Core is a share of one core.
	Core float64
	// BytesPerSec passes between nodes and to and from the platform;
	// LocalBytesPerSec passes between the processes of a node.
	BytesPerSec      float64
	LocalBytesPerSec float64
	MemoryBytes      float64
}

// ControlRows returns what a node spends for control at a size.
func ControlRows(s Size, m Slopes) []Row {
	processes, readers := float64(s.ProcessesOfNode), float64(s.ReadersOfNode)
	reads := readers * readsOfList
	exchanges := 2 * readers / beatInterval(s).Seconds()
	changes := s.ChangesPerDay / secondsPerDay
	snapshots := float64(snapshotsPerHour) / time.Hour.Seconds()
	listings := changesOfList * s.RestartsPerDay / secondsPerDay
	ends := connectionEnds(s)
	// A heartbeat without news carries no reports; the measured one is full.
	quiet := m.Value("wire.heartbeat_bytes") - 2*m.Value("members.reports_bytes")
	return []Row{
		{
			Work: "host list", Load: fmt.Sprintf("%g of %g processes asks for it %d times a second and gets it when it has changed", readers, processes, readsOfList),
			Core:        reads*m.Value("members.unchanged_time") + processes*listings*m.Value("members.take_listing"),
			BytesPerSec: reads*m.Value("members.unchanged_bytes") + readers*listings*m.Value("members.listing_bytes"),
			MemoryBytes: processes * m.Value("members.table_memory"),
		},
		{
			Work: "heartbeats", Load: fmt.Sprintf("%g exchanges a second, half of them asked by others; one process asks every %s", exchanges, beatInterval(s)),
			Core:        exchanges * (m.Value("wire.heartbeat_time")/2 + m.Value("members.take_heartbeat")),
			BytesPerSec: exchanges*quiet + readers*listings*newsCopies*m.Value("members.reports_bytes")/reportsInHeartbeat,
		},
		{
			Work: "new connections", Load: fmt.Sprintf("one for each exchange, because a partner comes again after %s", beatInterval(s)*time.Duration(s.Nodes)),
			Core: exchanges * m.Value("wire.dial_time") / 2, BytesPerSec: exchanges * m.Value("wire.dial_bytes"),
		},
		feedRow(s, m, exchanges, changes, listings, snapshots),
		streamRow(s, m),
		leaseRow(s, m),
		engineRow(s, m),
		{
			Work: "changes of configuration", Load: fmt.Sprintf("%.3f a second, folded by %g processes", changes, processes),
			Core:        changes * (processes*m.Value("config.fold_patch") + 2*m.Value("config.index_keys")),
			BytesPerSec: readers * changes * m.Value("config.patch_record") * base64Growth,
			MemoryBytes: processes * m.Value("config.state_memory"),
		},
		{
			Work: "configuration snapshots", Load: fmt.Sprintf("%d an hour, read by %g and passed on to %g processes", snapshotsPerHour, readers, processes-readers),
			Core: processes * snapshots * m.Value("config.fold_snapshot"), BytesPerSec: readers * snapshots * m.Value("config.snapshot_record") * base64Growth,
		},
		{
			Work: "owners of targets", Load: fmt.Sprintf("%.4f changes of the list a second, worked out by %g processes", listings, processes),
			Core: processes * listings * m.Value("members.assign_targets"),
		},
		{
			Work: "idle processes", Load: "timers, polls of 2 engines, and lists and heartbeats of 24 hosts; stand-ins included",
			Core: m.Value("host.idle_core_of_24"),
		},
		{
			Work: "peer connections", Load: fmt.Sprintf("%.0f ends for heartbeats and requests within %s", ends, idleConnection),
			MemoryBytes: ends * m.Value("wire.connection_memory"),
		},
	}
}

// feedRow returns what the processes of a node that do not read spend on
// taking from the one that does.
func feedRow(s Size, m Slopes, exchanges, changes, listings, snapshots float64) Row {
	fed := float64(s.ProcessesOfNode - s.ReadersOfNode)
	polls := pollsOfFeed + changes + listings + snapshots
	heartbeat := m.Value("members.heartbeat_bytes") - m.Value("members.reports_bytes")
	records := changes*m.Value("config.patch_record") + snapshots*m.Value("config.snapshot_record")
	return Row{
		Work: "feed within the node", Load: fmt.Sprintf("%g processes poll the dispatcher %.2f times a second", fed, polls),
		Core: fed * polls * (m.Value("feed.poll_time") + 2*m.Value("members.take_heartbeat")),
		LocalBytesPerSec: fed * (polls*m.Value("feed.poll_bytes") +
			exchanges*(heartbeat+m.Value("feed.row_bytes")) +
			records*base64Growth + listings*m.Value("members.listing_bytes")),
	}
}

// streamRow returns what reading the ends of streams costs while they bring
// nothing.
func streamRow(s Size, m Slopes) Row {
	streams := float64(s.ReadersOfNode) + float64(claims.DefaultShards)/float64(s.Nodes)
	polls := streams/streamWait.Seconds() + 2/quarantineWait.Seconds()
	return Row{
		Work: "ends of streams", Load: fmt.Sprintf("%.2f reads a second of configuration, claims and quarantine", polls),
		BytesPerSec: polls * m.Value("log.poll_bytes"),
	}
}

// Rates of the records that the holder of a lease writes.
var (
	renewalsPerSec = 1 / lease.RenewInterval.Seconds()
	reportsPerSec  = 1 / lease.DemandInterval.Seconds()
)

// leaseRow returns what the lease of its own failure domain costs a
// controller, which reads every renewal, and a node's even share of what the
// holders spend: each appends renewals and reports of the demand, and reads the
// reports of all.
func leaseRow(s Size, m Slopes) Row {
	domains := float64(s.FailureDomains)
	return Row{
		Work: "leases", Load: fmt.Sprintf("%.3g renewals a second of the own failure domain read, and 1/%.0f of what a holder writes and reads", renewalsPerSec, float64(s.Nodes)/domains),
		BytesPerSec: renewalsPerSec*m.Value("lease.read_bytes") + holderBytes(s, m)*domains/float64(s.Nodes),
	}
}

// holderBytes returns what the holder of a lease spends besides reading its
// stream, in bytes a second.
func holderBytes(s Size, m Slopes) float64 {
	return (renewalsPerSec+reportsPerSec)*m.Value("lease.append_bytes") + reportsPerSec*float64(s.FailureDomains)*m.Value("lease.report_bytes")
}

// engineRow returns what a dispatcher reads of its engines.
func engineRow(s Size, m Slopes) Row {
	engines := float64(s.Engines) / float64(s.Nodes)
	return Row{
		Work: "reports of engines", Load: fmt.Sprintf("cache events of %.1f engines every %s and what they hold every %s, without news", engines, engineReads, stateReads),
		BytesPerSec: engines * (m.Value("engine.events_bytes")/engineReads.Seconds() + m.Value("engine.state_bytes")/stateReads.Seconds()),
	}
}

// RequestRows returns what a node spends on its share of the requests.
func RequestRows(s Size, m Slopes) []Row {
	requests := s.RequestsPerSec / float64(s.Nodes)
	tokens := s.TokensPerSec / float64(s.Nodes)
	keyed := s.RequestsPerSec / claims.DefaultShards
	record := m.Value("claims.claim_bytes") + m.Value("claims.outcome_bytes")
	held := keyed * claims.DefaultWindow.Seconds()
	return []Row{
		{
			Work: "requests", Load: fmt.Sprintf("%.2f a second through gate and dispatcher, caller and engine stand-ins included", requests),
			Core: requests * m.Value("path.request"),
		},
		{
			Work: "choice of a dispatcher", Load: fmt.Sprintf("%.2f a second: find the key, rate %d views", requests, s.enginesOfModel()),
			Core: requests * (m.Value("gate.find_key") + m.Value("gate.pick")),
		},
		{
			Work: "answer tokens", Load: fmt.Sprintf("%.0f a second, each in a chunk of its own, sent by a dispatcher and taken by a gate", tokens),
			Core: tokens * m.Value("path.token"), BytesPerSec: 2 * tokens * m.Value("wire.chunk_bytes"),
		},
		{
			Work: "claims, at the home of a shard", Load: fmt.Sprintf("%.1f keyed requests a second if all have keys, written and read back; keys held for %s", keyed, claims.DefaultWindow),
			Core:        keyed * m.Value("claims.fold"),
			BytesPerSec: keyed * record * (1 + base64Growth),
			MemoryBytes: held * m.Value("claims.key_memory"),
		},
	}
}

func beatInterval(s Size) time.Duration {
	return min(max(heartbeatIntervalPerHost*time.Duration(s.Nodes), minHeartbeatInterval), maxHeartbeatInterval)
}

// connectionEnds returns the open ends of peer connections of a node: those of
// its heartbeats and its requests, and as many that others open to it.
func connectionEnds(s Size) float64 {
	others := float64(s.Nodes - 1)
	heartbeats := min(others, idleConnection.Seconds()/beatInterval(s).Seconds())
	requests := distinct(others, s.RequestsPerSec/float64(s.Nodes)*idleConnection.Seconds())
	return 2 * (float64(s.ReadersOfNode)*heartbeats + requests + float64(s.ProcessesOfNode-s.ReadersOfNode))
}

// distinct returns how many of n places are hit by random draws.
func distinct(n, draws float64) float64 {
	return n * (1 - math.Pow(1-1/n, draws))
}

// Total adds rows.
func Total(rows []Row) Row {
	var sum Row
	for _, r := range rows {
		sum.Core += r.Core
		sum.BytesPerSec += r.BytesPerSec
		sum.LocalBytesPerSec += r.LocalBytesPerSec
		sum.MemoryBytes += r.MemoryBytes
	}
	return sum
}

// HolderTotal adds the control rows of a node that holds the lease of a failure
// domain: all that a holder spends in place of an even share of it.
func HolderTotal(s Size, m Slopes) Row {
	sum := Total(ControlRows(s, m))
	share := float64(s.FailureDomains) / float64(s.Nodes)
	sum.BytesPerSec += (1 - share) * holderBytes(s, m)
	return sum
}

// WriteBudget writes the rows of a node at a size as a page.
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
	p.total("**budget**", Row{Core: limit.Core, BytesPerSec: limit.BytesPerSec, MemoryBytes: limit.MemoryBytes})
	p.print("\nThe budget of bytes is for what passes between nodes and to and from the platform;\nwhat passes between the processes of a node, on its loopback, has a column of its\nown. Bytes are those of the connections, without TCP headers.\n\nThe memory is heap and stacks; the Go runtime and the program text of three\nprocesses come on top, see `docs/CAPACITY.md`.\n\n## Requests\n\n")
	p.rows(RequestRows(s, m))
	return p.err
}

// page writes Markdown and keeps the first failure.
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
		p.print("| %s | %s | %s | %s | %s | %s |\n", r.Work, r.Load, number(r.Core*100), number(r.BytesPerSec), number(r.LocalBytesPerSec), number(r.MemoryBytes/1e6))
	}
}

func (p *page) total(name string, r Row) {
	p.print("| %s | | %s | %s | %s | %s |\n", name, number(r.Core*100), number(r.BytesPerSec), number(r.LocalBytesPerSec), number(r.MemoryBytes/1e6))
}

// number writes a value with three digits; nothing stands for zero.
func number(x float64) string {
	if x == 0 {
		return ""
	}
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
