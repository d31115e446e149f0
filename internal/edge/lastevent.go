package edge

import (
	"fmt"
	"strconv"
)

// firstEvent is the number of the first event of a stream, and zeroEvent that of targets that
// count from zero: the platform says only that numbers increase. Each further event has the next
// number.
const (
	firstEvent = 1
	zeroEvent  = 0
)

// lastEvent is the last event of a stream that a caller has. The zero value means that it has
// none.
type lastEvent struct {
	state lastEventState
	// number is valid only in the state lastNumbered. It is not below zeroEvent.
	number int64
}

type lastEventState uint8

const (
	lastNone lastEventState = iota
	lastNumbered
	// lastUnreadable means that the caller has events, and states an ID that no event can have.
	lastUnreadable
)

// numbered returns the event with a number as the last one.
func numbered(number int64) lastEvent { return lastEvent{state: lastNumbered, number: number} }

// parseLastEvent returns the last event that a caller has from the ID that it states. It has
// none if it states none.
func parseLastEvent(id string) lastEvent {
	if id == "" {
		return lastEvent{}
	}
	number, ok := parseEventNumber(id)
	if !ok {
		return lastEvent{state: lastUnreadable}
	}
	return numbered(number)
}

// parseEventNumber returns the number in the ID of an event. It has one spelling only: two
// readers of "+5" or "05" may disagree on what it is.
func parseEventNumber(id string) (int64, bool) {
	if id != "0" && (id == "" || id[0] < '1' || id[0] > '9') {
		return 0, false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return number, err == nil
}

// none reports whether the caller has no event. With the number zero it has one only if the target
// counts from zero, and none otherwise: the next event is the same.
func (l lastEvent) none() bool {
	return l.state == lastNone || l.state == lastNumbered && l.number < firstEvent
}

// precedes reports whether the event with a number is the next one.
func (l lastEvent) precedes(number int64) bool {
	switch l.state {
	case lastNone:
		return number == firstEvent || number == zeroEvent
	case lastNumbered:
		// The next number may not exist, the one before does.
		return number > zeroEvent && number-1 == l.number
	default:
		return false
	}
}

// id returns the ID that tells a target which event the caller has last; empty if it has none.
func (l lastEvent) id() string {
	if l.state != lastNumbered {
		return ""
	}
	return strconv.FormatInt(l.number, 10)
}

// String returns how errors name the event.
func (l lastEvent) String() string {
	switch l.state {
	case lastNone:
		return "no event"
	case lastNumbered:
		return fmt.Sprintf("event %d", l.number)
	default:
		return "an event with an ID that can't be read"
	}
}
