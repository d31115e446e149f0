// Package answerend judges whether an answer that states no length is whole. Such an answer
// ends with its connection, and the kernel ends the connections of a killed process in the same
// way as the process itself ends them after a whole answer.
package answerend

// Probe is what became of a connection that was opened to the address of a target shortly after
// an answer of the target had ended.
type Probe uint8

// The values of Probe.
const (
	// Unanswered means that the connection was neither accepted nor refused in time: the
	// machine or the network of the target is gone, or the path is cut.
	Unanswered Probe = iota
	// Accepted means that the connection was accepted and stayed open.
	Accepted
	// Refused means that nothing listens at the address.
	Refused
	// Closed means that the connection was accepted and closed at once, as by a proxy without
	// its server.
	Closed
	// Reset means that the connection was accepted and reset at once, as by a target with too
	// many connections or by a proxy without its server.
	Reset
	// Mute means that the connection was accepted and brought no answer of the target, which had
	// answered there before.
	Mute
	// NoServer means that a proxy answered that it cannot reach the target.
	NoServer
	// Restarted means that another start of the target answered.
	Restarted
)

// String returns the name that logs and metrics use.
func (p Probe) String() string {
	return [...]string{"unanswered", "accepted", "refused", "closed", "reset", "mute", "no_server", "restarted"}[p]
}

// Ended reports whether the process of the target has ended for certain, so that no further
// probe can tell otherwise.
func (p Probe) Ended() bool {
	return p == Refused || p == Closed || p == NoServer || p == Restarted
}

// Evidence is what a host knows of the process of a target after an answer has ended.
type Evidence struct {
	Probe Probe
	// Heard is true if the target has sent something on another connection since.
	Heard bool
	// Replaced is true if the target is listed with a later start or another address.
	Replaced bool
	// Stale is true if the host may not know of a later start: its process stalled while the
	// target answered, and it has not learned since how the target is listed.
	Stale bool
}

// Verdict is how an answer ended.
type Verdict uint8

// The values of Verdict.
const (
	// Whole means that the target lives and has ended the answer.
	Whole Verdict = iota
	// Cut means that nothing shows that the process of the target lives, so that the answer
	// may lack its rest.
	Cut
)

// String returns the name that logs and metrics use.
func (v Verdict) String() string { return [...]string{"whole", "cut"}[v] }

// Judge returns how an answer ended and the evidence that decides it, as logs and metrics name
// it.
func Judge(e Evidence) (v Verdict, decisive string) {
	switch {
	case e.Replaced:
		return Cut, "replaced"
	case e.Probe.Ended():
		return Cut, e.Probe.String()
	case e.Stale:
		return Cut, "stale"
	case e.Probe == Accepted:
		return Whole, e.Probe.String()
	case e.Heard:
		return Whole, "heard"
	default:
		return Cut, e.Probe.String()
	}
}
