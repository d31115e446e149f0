package event

import "go.uber.org/zap/zapcore"

//go:generate go run ./gen ../../docs/events.md

// Process life: 1000 to 1099.
var (
	ProcessStarted   = Event{1001, zapcore.InfoLevel, "process started", "The process serves on its addresses."}
	SettingsInForce  = Event{1002, zapcore.InfoLevel, "settings in force", "The settings after flags, environment and defaults; keys are left out."}
	StopRequested    = Event{1003, zapcore.InfoLevel, "stop requested", "A termination signal arrived; readiness is off and requests in flight go on."}
	StopBoundPassed  = Event{1004, zapcore.WarnLevel, "stop bound passed", "Requests were still in flight when the stop bound passed."}
	ProcessStopped   = Event{1005, zapcore.InfoLevel, "process stopped", "All requests in flight ended and the process exits."}
	ListenerFailed   = Event{1006, zapcore.ErrorLevel, "listener failed", "A listening socket returned an error."}
	SettingsReloaded = Event{1007, zapcore.InfoLevel, "settings reloaded", "The settings file was read again; an error keeps the old ones."}
	LogLinesLeftOut  = Event{1008, zapcore.WarnLevel, "log lines left out", "The log was above its rate, or its reader too slow; lines is their number since the last such line."}
)

// Configuration and log following: 1100 to 1199.
var (
	ConfigInForce    = Event{1101, zapcore.InfoLevel, "configuration in force", "The host applies a new configuration version."}
	PatchRejected    = Event{1102, zapcore.WarnLevel, "patch rejected", "A patch in the log was stale or invalid; every host rejects it alike."}
	LogUnreachable   = Event{1103, zapcore.WarnLevel, "log unreachable", "Reading the log failed; the host keeps its last version and asks its peers."}
	LogTruncated     = Event{1104, zapcore.WarnLevel, "log truncated under reader", "Records before the reader's offset are gone; the state is loaded from a snapshot."}
	LogReachable     = Event{1105, zapcore.InfoLevel, "log reachable", "Reading the log works again."}
	SnapshotAppended = Event{1106, zapcore.InfoLevel, "snapshot appended", "A configuration snapshot was appended before retention drops the older one."}
	RecordIgnored    = Event{1107, zapcore.WarnLevel, "record ignored", "A log record cannot be read or is a snapshot that disagrees with the records before it; every host ignores it alike."}
)

// Membership, ownership and leases: 1200 to 1299.
var (
	PeerUp        = Event{1201, zapcore.InfoLevel, "peer up", "A peer answers heartbeats."}
	PeerDown      = Event{1202, zapcore.WarnLevel, "peer down", "A peer stopped answering heartbeats."}
	TargetLeaving = Event{1203, zapcore.InfoLevel, "target leaving", "A target is leaving and gets no new work."}
	TargetOwned   = Event{1204, zapcore.InfoLevel, "target owned", "This dispatcher became the owner of a target."}
	TargetLost    = Event{1205, zapcore.InfoLevel, "target ownership lost", "Another dispatcher became the owner of a target."}
	LeaseTaken    = Event{1206, zapcore.InfoLevel, "lease taken", "The controller holds a lease."}
	LeaseLost     = Event{1207, zapcore.WarnLevel, "lease lost", "A lease expired or was taken over."}
	OrderSent     = Event{1208, zapcore.InfoLevel, "order sent", "An order was accepted by an engine."}
	OrderRefused  = Event{1209, zapcore.WarnLevel, "order refused", "An engine refused an order, for example for an old fencing number."}
	PeerState     = Event{1210, zapcore.InfoLevel, "peer state changed", "A host is leaving, or is in the host list no longer or not yet."}
	FeedTaken     = Event{1211, zapcore.InfoLevel, "dispatcher feeds", "This process takes hosts and configuration from the dispatcher of its host."}
	FeedLost      = Event{1212, zapcore.WarnLevel, "dispatcher feeds no longer", "The dispatcher of this host is silent; this process reads the list and the log itself."}
	PeerUnreached = Event{1213, zapcore.InfoLevel, "peer unreached", "An attempt to connect to a host that others depend on failed; it is tried again."}
	StoreLost     = Event{1214, zapcore.WarnLevel, "store lost", "Calls to the platform's store fail; what is known stays in force."}
	StoreBack     = Event{1215, zapcore.InfoLevel, "store back", "The platform's store answers again."}
	TargetListed  = Event{1216, zapcore.InfoLevel, "target listed", "A target was added to the list or its entry changed."}
	TargetRemoved = Event{1217, zapcore.InfoLevel, "target removed", "A target is in the list no longer."}
	EntryIgnored  = Event{1218, zapcore.WarnLevel, "entry ignored", "An entry of the store cannot be read; it names nothing to use."}
	HostsChanged  = Event{1219, zapcore.InfoLevel, "hosts changed", "The list of hosts of the system changed."}
	HomeChanged   = Event{1220, zapcore.InfoLevel, "home changed", "Another host gives out the places at targets."}
	HostBusy      = Event{1221, zapcore.WarnLevel, "host busy", "Timers of this process fire late; others are asked for places until it has caught up."}
)

// Requests: 1300 to 1399.
var (
	RequestRefused   = Event{1301, zapcore.InfoLevel, "request refused", "A request was refused before it ran; the kind tells why."}
	RequestFinished  = Event{1302, zapcore.InfoLevel, "request finished", "A request ended; the kind is empty on success."}
	RequestUnknown   = Event{1303, zapcore.WarnLevel, "request outcome unknown", "No target could tell whether the request ran."}
	StreamResumed    = Event{1304, zapcore.InfoLevel, "stream resumed", "An answer stream continues on a new connection."}
	StreamSilent     = Event{1305, zapcore.WarnLevel, "stream silent", "An answer stream made no progress; its connection was dropped."}
	DispatcherLost   = Event{1306, zapcore.WarnLevel, "dispatcher lost", "The connection to a dispatcher broke with requests open on it."}
	ClaimLost        = Event{1307, zapcore.InfoLevel, "claim lost", "Another request holds the key; the caller is joined to it."}
	QuarantineAdded  = Event{1308, zapcore.WarnLevel, "quarantine added", "A fingerprint was in flight at two target crashes and is refused everywhere."}
	QuarantineLifted = Event{1309, zapcore.InfoLevel, "quarantine lifted", "A fingerprint expired or was released by an operator."}
	InvariantFailed  = Event{1310, zapcore.ErrorLevel, "invariant failed", "An internal check failed; report it with the surrounding log."}
	PlaceGranted     = Event{1311, zapcore.InfoLevel, "place granted", "A request got a place at a target; expected is the time to its first byte."}
	PlaceRefused     = Event{1312, zapcore.InfoLevel, "place refused", "A request got no place; the kind and the detail tell why."}
	SendFailed       = Event{1313, zapcore.WarnLevel, "send failed", "A target gave no whole answer; proof tells what is known of the run."}
	DecidedAlone     = Event{1314, zapcore.WarnLevel, "decided alone", "No home of places answers; this host uses its own share of the targets."}
)

// Targets: 1400 to 1499.
var (
	TargetCrashed   = Event{1401, zapcore.WarnLevel, "target crashed", "A target refused connections or restarted with requests in flight."}
	TargetStraggles = Event{1402, zapcore.WarnLevel, "target straggles", "A target is much slower than its hardware generation and gets probe traffic only."}
	TargetRecovered = Event{1403, zapcore.InfoLevel, "target recovered", "A target is back at the speed of its hardware generation."}
)

// Catalogue returns every event by number.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, SettingsInForce, StopRequested, StopBoundPassed, ProcessStopped, ListenerFailed, SettingsReloaded, LogLinesLeftOut,
		ConfigInForce, PatchRejected, LogUnreachable, LogTruncated, LogReachable, SnapshotAppended, RecordIgnored,
		PeerUp, PeerDown, TargetLeaving, TargetOwned, TargetLost, LeaseTaken, LeaseLost, OrderSent, OrderRefused, PeerState, FeedTaken, FeedLost,
		PeerUnreached, StoreLost, StoreBack, TargetListed, TargetRemoved, EntryIgnored, HostsChanged, HomeChanged, HostBusy,
		RequestRefused, RequestFinished, RequestUnknown, StreamResumed, StreamSilent, DispatcherLost, ClaimLost,
		QuarantineAdded, QuarantineLifted, InvariantFailed,
		PlaceGranted, PlaceRefused, SendFailed, DecidedAlone,
		TargetCrashed, TargetStraggles, TargetRecovered,
	}
}
