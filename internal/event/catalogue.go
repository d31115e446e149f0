package event

import "go.uber.org/zap/zapcore"

//go:generate go run ./gen ../../docs/events.md

// Process lifecycle: 1000 to 1099.
var (
	ProcessStarted     = Event{1001, zapcore.InfoLevel, "process started", "The process accepts connections on its addresses."}
	SettingsInForce    = Event{1002, zapcore.InfoLevel, "settings in force", "The effective settings from flags, environment and defaults; keys are omitted."}
	StopRequested      = Event{1003, zapcore.InfoLevel, "stop requested", "The process received a termination signal; it reports not ready and completes requests in flight."}
	StopTimeoutExpired = Event{1004, zapcore.WarnLevel, "stop timeout expired", "Requests were still in flight when the stop timeout (the stop bound of the settings) expired. For a host of the platform: open connections of callers and relayed requests together, requests that were at targets, and requests relayed for other hosts."}
	ProcessStopped     = Event{1005, zapcore.InfoLevel, "process stopped", "All requests in flight have ended; the process exits."}
	ListenerFailed     = Event{1006, zapcore.ErrorLevel, "listener failed", "A listening socket returned an error."}
	SettingsReloaded   = Event{1007, zapcore.InfoLevel, "settings reloaded", "The settings file was read again; on an error the previous settings stay in force."}
	LogLinesDropped    = Event{1008, zapcore.WarnLevel, "log lines dropped", "Log lines were dropped because the rate limit was exceeded or the reader was too slow; lines is their number since the last event of this kind."}
	ProcessResumed     = Event{1009, zapcore.WarnLevel, "process resumed", "The process did not run for the time stated, because it was paused, its host was suspended or it got no processor time."}
)

// Configuration and log reading: 1100 to 1199.
var (
	ConfigInForce        = Event{1101, zapcore.InfoLevel, "configuration in force", "A new configuration version is in force on the host."}
	PatchRejected        = Event{1102, zapcore.WarnLevel, "patch rejected", "A patch in the log was stale or invalid; all hosts reject it."}
	LogUnreachable       = Event{1103, zapcore.WarnLevel, "log unreachable", "A call to the log failed; the host keeps its last known configuration and asks its peers for newer versions."}
	LogTruncated         = Event{1104, zapcore.WarnLevel, "log truncated under reader", "Records that the reader needs were truncated; the state is rebuilt from a snapshot or from the oldest retained record."}
	LogReachable         = Event{1105, zapcore.InfoLevel, "log reachable", "The log can be read again."}
	SnapshotAppended     = Event{1106, zapcore.InfoLevel, "snapshot appended", "A configuration snapshot was appended before log retention removes the previous one."}
	KeysNoLongerRequired = Event{1108, zapcore.WarnLevel, "keys no longer required", "A configuration version lacks the list of customers that the version before had: all routes are open to callers without a key."}
	RecordIgnored        = Event{1107, zapcore.WarnLevel, "record ignored", "A log record is malformed, or is a snapshot that contradicts earlier records; all hosts ignore it."}
)

// Membership, ownership and leases: 1200 to 1299.
var (
	PeerUp               = Event{1201, zapcore.InfoLevel, "peer up", "A peer responds to heartbeats."}
	PeerDown             = Event{1202, zapcore.WarnLevel, "peer down", "A peer stopped responding to heartbeats."}
	TargetLeaving        = Event{1203, zapcore.InfoLevel, "target leaving", "A target is leaving and gets no new requests."}
	TargetOwned          = Event{1204, zapcore.InfoLevel, "target owned", "This dispatcher became the owner of a target."}
	TargetOwnershipLost  = Event{1205, zapcore.InfoLevel, "target ownership lost", "Another dispatcher became the owner of a target."}
	LeaseAcquired        = Event{1206, zapcore.InfoLevel, "lease acquired", "The controller acquired a lease."}
	LeaseLost            = Event{1207, zapcore.WarnLevel, "lease lost", "A lease expired or was taken over by another controller."}
	OrderSent            = Event{1208, zapcore.InfoLevel, "order sent", "An engine accepted an order."}
	OrderRefused         = Event{1209, zapcore.WarnLevel, "order refused", "An engine refused an order, for example because of an outdated fencing number."}
	PeerStateChanged     = Event{1210, zapcore.InfoLevel, "peer state changed", "The state of a host changed, for example because it is leaving, was removed from the host list or is not yet in it."}
	FeedConnected        = Event{1211, zapcore.InfoLevel, "dispatcher feed connected", "This process gets the host list and the configuration from the dispatcher of its host."}
	FeedLost             = Event{1212, zapcore.WarnLevel, "dispatcher feed lost", "The dispatcher of this host does not respond; this process reads the host list and the log itself."}
	PeerReachChanged     = Event{1223, zapcore.WarnLevel, "peer reach changed", "A host says that it reaches no targets, so that others own them, or that it does again."}
	PeerConnectionFailed = Event{1213, zapcore.InfoLevel, "peer connection failed", "An attempt to connect to a seed host, or to one of the highest-ranked hosts, which all other hosts depend on, failed; it is retried."}
	StoreUnreachable     = Event{1214, zapcore.WarnLevel, "store unreachable", "Calls to the platform's store fail; the last known state stays in force."}
	StoreReachable       = Event{1215, zapcore.InfoLevel, "store reachable", "Calls to the platform's store succeed again."}
	TargetListed         = Event{1216, zapcore.InfoLevel, "target listed", "A target was added to the list or its entry changed."}
	TargetRemoved        = Event{1217, zapcore.InfoLevel, "target removed", "A target was removed from the list. source tells how the host has learned of it: from the store, a listing of it, another host (peer), or once the grace after an outage was over."}
	EntryIgnored         = Event{1218, zapcore.WarnLevel, "entry ignored", "An entry of the store is malformed and is not used."}
	HostsChanged         = Event{1219, zapcore.InfoLevel, "hosts changed", "The list of hosts of the system changed."}
	CoordinatorChanged   = Event{1220, zapcore.InfoLevel, "coordinator changed", "Another host became the coordinator, which grants the slots at targets."}
	HostOverloadChanged  = Event{1221, zapcore.WarnLevel, "host overload changed", "The process became overloaded (busy is true) or recovered. While it is overloaded, its timers fire late and slot requests go to other hosts."}
	HostCountUnknown     = Event{1224, zapcore.WarnLevel, "host count unknown", "The list of hosts cannot be read, or does not list this host. Quotas and budgets of the whole system are divided by the number assumed; seen is the number of hosts that this one knows of."}
	HostCountKnown       = Event{1225, zapcore.InfoLevel, "host count known", "The number of hosts is known again."}
	HostListRead         = Event{1226, zapcore.InfoLevel, "host list read", "The hosts were read from the copy of their list, because the list itself could not be read."}
	PeerRefused          = Event{1227, zapcore.WarnLevel, "peer refused", "A host that does not belong to this fleet was refused, before anything that it sent was used: it states another identity (other_fleet) or, while one of both does not know its identity, another store (other_store), it states nothing and is not listed as a host of the build before (unlisted), what it states is no identity (unreadable), or it is another host than the one that is listed at its address (other_host). At most one line for each reason and way in 10 s."}
	IdentityKnown        = Event{1228, zapcore.InfoLevel, "fleet identity known", "The identity of the fleet was read from the store or written there. before is the one that the store had stated before, if any."}
	IdentityNotRead      = Event{1229, zapcore.InfoLevel, "fleet identity not read", "The identity of the fleet could not be read from the store or written there; it is tried again."}
	HostRemoved          = Event{1222, zapcore.InfoLevel, "host removed", "The record of a host was removed because the host has been gone for a while."}
)

// Records of rollouts in the store: 1230 to 1239.
var (
	RolloutStatusWritten = Event{1230, zapcore.InfoLevel, "rollout status written", "The coordinator has told the operator the state of a rollout."}
	RolloutNotStored     = Event{1231, zapcore.WarnLevel, "rollout not stored", "The coordinator could not write the record or the status of a rollout; it tries again. Meanwhile no more requests than before go to the new version."}
)

// The identity of the fleet in the store: 1240 to 1249.
var (
	IdentityUnreadable = Event{1240, zapcore.ErrorLevel, "fleet identity unreadable", "The record of the fleet's identity in the store holds none. It is left as it is, and what the host knows stays in force."}
	StateDropped       = Event{1241, zapcore.WarnLevel, "state dropped", "The store at the platform's address is another one than before: it holds another identity although it was not restored. What this host knew of targets, hosts, the configuration and crashes is of another fleet; it is dropped, and the store is listed anew."}
)

// Requests: 1300 to 1399.
var (
	RequestRefused        = Event{1301, zapcore.InfoLevel, "request refused", "A request was refused before it ran; kind gives the reason."}
	RequestFinished       = Event{1302, zapcore.InfoLevel, "request finished", "A request ended; the kind is empty on success. first_event and last_event are the IDs of the first and last event that the caller was sent; framed is true if the end of the last answer can be told from that of the connection, and caller_protocol is the HTTP version of the caller."}
	RequestOutcomeUnknown = Event{1303, zapcore.WarnLevel, "request outcome unknown", "It could not be determined whether the request ran."}
	StreamResumed         = Event{1304, zapcore.InfoLevel, "stream resumed", "An answer stream continues on a new connection."}
	StreamSilent          = Event{1305, zapcore.WarnLevel, "stream silent", "An answer stream made no progress; its connection was closed."}
	DispatcherLost        = Event{1306, zapcore.WarnLevel, "dispatcher lost", "The connection to a dispatcher broke while it carried open requests."}
	ClaimLost             = Event{1307, zapcore.InfoLevel, "claim lost", "Another request holds the key; the caller gets the result of that request."}
	QuarantineAdded       = Event{1308, zapcore.WarnLevel, "quarantine added", "Requests with a fingerprint were in flight at two target crashes; all hosts refuse the fingerprint."}
	QuarantineLifted      = Event{1309, zapcore.InfoLevel, "quarantine lifted", "A quarantine entry expired or was released by an operator."}
	InvariantFailed       = Event{1310, zapcore.ErrorLevel, "invariant failed", "An internal check failed; report it with the surrounding log."}
	SlotGranted           = Event{1311, zapcore.InfoLevel, "slot granted", "A request got a slot at a target; expected is the expected time to first byte. A stream goes on after the event of the ID after; first_attempt is the request that began it."}
	SlotRefused           = Event{1312, zapcore.InfoLevel, "slot refused", "A request got no slot; reason, waiting and in_use describe the cause. surplus is true if the request was beyond the share of its customer."}
	SendFailed            = Event{1313, zapcore.WarnLevel, "send failed", "A target did not return a complete answer; the error states whether the request may have run. The call had lasted for the time after and brought events; answered is true once its header had arrived, framed if its end can be told from that of the connection. parts are those of the prompt."}
	LocalFallback         = Event{1314, zapcore.WarnLevel, "local fallback", "No coordinator responds; this host grants slots from its own share of the targets."}
	RequestForwarded      = Event{1318, zapcore.InfoLevel, "request forwarded", "This host has lost its path to the target, and asks the host named to send the request for it. asked counts the hosts that were asked for one send."}
	RequestRelayed        = Event{1319, zapcore.InfoLevel, "request relayed", "This host has sent a request for the host from; the error is empty once the header of an answer has arrived."}
	OriginsLoaded         = Event{1320, zapcore.InfoLevel, "origins loaded", "The coordinator has read from the store which software versions began the streams."}
	OriginsNotStored      = Event{1321, zapcore.WarnLevel, "origins not stored", "The coordinator could not write to the store which software versions began streams; it tries again. If all hosts die meanwhile, these streams cannot be resumed."}
	AnswerEndInDoubt      = Event{1322, zapcore.WarnLevel, "answer end in doubt", "An answer without a length or chunks ended with its connection, and its target may have ended in the middle of it. The answer counts as broken off; evidence is what became of connections opened after that (refused, closed, reset, unanswered), what came back when the target was asked what it says of itself (no_server: a proxy without its server; mute: nothing, or less than before; restarted: a later start) or how the target is listed (replaced; stale: the process stalled meanwhile and does not know yet). after is how long the end was held back."}
	VersionsNotRead       = Event{1323, zapcore.WarnLevel, "versions not read", "Nothing is known of a stream that a caller takes up, and the store did not tell whether its service has another software version than the one that was seen; the stream is refused."}
	SoleVersionTaken      = Event{1324, zapcore.InfoLevel, "sole version taken", "Nothing is known of a stream that a caller takes up; it goes on at the only software version of its service. The versions were read from the store after the request had arrived."}
	CrashCauseFound       = Event{1315, zapcore.WarnLevel, "crash cause found", "Targets crashed under requests that have the traits of cause in common; all hosts refuse such requests. lost are the latest of them, each with its target."}
	CrashCauseLearned     = Event{1316, zapcore.InfoLevel, "crash cause learned", "This host refuses requests with a cause that another host has found."}
	CrashCauseForgotten   = Event{1317, zapcore.InfoLevel, "crash cause forgotten", "Requests with the cause are sent again: it is a day old or an operator has released it."}
	CrashCauseTried       = Event{1325, zapcore.InfoLevel, "crash cause tried", "This host sends one request that holds the cause, to find out whether targets still crash on it."}
	CrashCauseReleased    = Event{1326, zapcore.InfoLevel, "crash cause released", "Requests with the cause are sent again. by is trial (a target has answered one of them), evidence (other causes explain the crashes), host (another host told or wrote so) or operator; found is when the cause was found."}
)

// Targets: 1400 to 1499.
var (
	TargetCrashed     = Event{1401, zapcore.WarnLevel, "target crashed", "A target refused connections or restarted with requests in flight."}
	StragglerDetected = Event{1402, zapcore.WarnLevel, "straggler detected", "A target is much slower than its hardware generation and gets probe requests only."}
	TargetRecovered   = Event{1403, zapcore.InfoLevel, "target recovered", "A target reached the speed of its hardware generation again."}
	TargetQuiet       = Event{1404, zapcore.InfoLevel, "target quiet", "A target wants no requests from this host for a time."}
	TargetSilent      = Event{1405, zapcore.WarnLevel, "target silent", "A target has sent nothing for too long; the request moves to the target next, or stays where it is if there is none."}
	TargetEjected     = Event{1407, zapcore.WarnLevel, "target ejected", "The coordinator grants no request a slot at a target for a time, because a request of the host had the outcome there."}
	PathLost          = Event{1408, zapcore.WarnLevel, "path lost", "This host could not connect to a target, or its connection hung; other hosts send its requests to the target until a probe connects. all is true if the host knows of no sound path to the service."}
	PathRegained      = Event{1409, zapcore.InfoLevel, "path regained", "A probe has connected to a target to which this host had lost its path."}
	ShortageChanged   = Event{1440, zapcore.InfoLevel, "shortage changed", "A service's pool has too little capacity (short is true), so that customers of a tier get fair shares of it, or enough again. waiting_s is the slot time that queued requests need; capacity and in_use are numbers of slots."}
	CallerBounds      = Event{1420, zapcore.InfoLevel, "caller bounds", "The bounds that the limits of the settings set for callers: bytes of their requests, and connections on the port for callers and on that for readiness checks; zero means no bound."}
	CallersHeldOff    = Event{1421, zapcore.WarnLevel, "callers held off", "In the last second requests were refused or connections closed because callers took too much memory, time or connections; counts by reason, with the bytes and connections in use."}
	MemoryLossExcused = Event{1430, zapcore.WarnLevel, "memory loss excused", "A connection to a target broke while its requests held more tokens than its memory has, as the coordinator counts, or had shortly before; this counts neither against the target nor against its requests."}
	TargetLimit       = Event{1406, zapcore.InfoLevel, "target limit", "A target named another limit of requests a second from all hosts together, or none any more (limited is false), or said that it falls over if it has to turn more than max_rejections requests away in a second (brittle)."}
)

// Rollouts: 1410 to 1419.
var (
	RolloutBegun      = Event{1410, zapcore.InfoLevel, "rollout begun", "An operator's order to move the traffic of a service to the version to is in force on this host."}
	RolloutShifted    = Event{1411, zapcore.InfoLevel, "rollout shifted", "The evidence on the new version suffices; percent of the new requests go to it. old_answers and new_answers were judged, old_bad and new_bad of them failed or were slow. score is the log-likelihood ratio of the route with the most evidence against the version (empty: all routes), recent if that is of the last seconds."}
	RolloutCompleted  = Event{1412, zapcore.InfoLevel, "rollout completed", "All requests go to the new version and the old targets may be stopped; the fields are those of rollout shifted."}
	RolloutRolledBack = Event{1413, zapcore.WarnLevel, "rollout rolled back", "The new version gets no requests, for the reason stated; the fields are those of rollout shifted."}
	RolloutAdopted    = Event{1414, zapcore.InfoLevel, "rollout adopted", "This host has taken over the phase of a rollout from its stored record."}
	RolloutReplaced   = Event{1415, zapcore.InfoLevel, "rollout replaced", "A later order for the service ends this one; the versions that it ended get no requests."}
)

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, SettingsInForce, StopRequested, StopTimeoutExpired, ProcessStopped, ListenerFailed, SettingsReloaded, LogLinesDropped, ProcessResumed,
		ConfigInForce, PatchRejected, LogUnreachable, LogTruncated, LogReachable, SnapshotAppended, RecordIgnored, KeysNoLongerRequired,
		PeerUp, PeerDown, TargetLeaving, TargetOwned, TargetOwnershipLost, LeaseAcquired, LeaseLost, OrderSent, OrderRefused, PeerStateChanged, FeedConnected, FeedLost,
		PeerConnectionFailed, StoreUnreachable, StoreReachable, TargetListed, TargetRemoved, EntryIgnored, HostsChanged, CoordinatorChanged, HostOverloadChanged, HostRemoved, PeerReachChanged, HostCountUnknown, HostCountKnown, HostListRead, PeerRefused, IdentityKnown, IdentityNotRead,
		RolloutStatusWritten, RolloutNotStored, IdentityUnreadable, StateDropped,
		RequestRefused, RequestFinished, RequestOutcomeUnknown, StreamResumed, StreamSilent, DispatcherLost, ClaimLost,
		QuarantineAdded, QuarantineLifted, InvariantFailed,
		SlotGranted, SlotRefused, SendFailed, LocalFallback, CrashCauseFound, CrashCauseLearned, CrashCauseForgotten, CrashCauseTried, CrashCauseReleased, RequestForwarded, RequestRelayed, OriginsLoaded, OriginsNotStored, AnswerEndInDoubt, VersionsNotRead, SoleVersionTaken,
		TargetCrashed, StragglerDetected, TargetRecovered, TargetQuiet, TargetSilent, TargetLimit, TargetEjected, PathLost, PathRegained,
		RolloutBegun, RolloutShifted, RolloutCompleted, RolloutRolledBack, RolloutAdopted, RolloutReplaced, CallerBounds, CallersHeldOff, MemoryLossExcused, ShortageChanged,
	}
}
