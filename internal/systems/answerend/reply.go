package answerend

import "time"

// Word is what came back when a target was asked what it says of itself.
type Word uint8

// The values of Word, in order of increasing certainty that the target itself has answered.
const (
	// NoWord means that nothing came back.
	NoWord Word = iota
	// OtherWord means that an answer came back that does not name a start, as from a target that
	// does not know the call.
	OtherWord
	// StartWord means that the target named its start.
	StartWord
)

// Reply is what became of the question to a target what it says of itself. The zero value stands
// for a target that was not asked.
type Reply struct {
	// Probe is what became of the connection. It is Accepted if the connection brought an
	// answer, or stayed open without one.
	Probe Probe
	Word  Word
	// StartedAt is the start that the target named; valid only with StartWord.
	StartedAt time.Time
}

// Compare returns what a reply says of the target that answered a request; startedAt is its start
// as listed, zero if unknown, and before what the same start replied earlier. A target that has
// never replied may stay silent: it may not know the call.
func (r Reply) Compare(startedAt time.Time, before Reply) Probe {
	if before.Word == StartWord {
		startedAt = before.StartedAt
	}
	switch {
	case r.Probe != Accepted:
		return r.Probe
	case r.Word == StartWord && !startedAt.IsZero() && r.StartedAt.After(startedAt):
		return Restarted
	case r.Word < before.Word:
		return Mute
	default:
		return Accepted
	}
}
