package edge

import "bytes"

// eventEnd ends an event of text/event-stream.
var eventEnd = []byte("\n\n")

// numberedLength returns the length of pending up to the end of the last complete event
// that has an ID. What follows may be no event at all and is kept until an event with
// an ID or the end of the stream follows.
func numberedLength(pending []byte) int {
	length := 0
	for at := 0; ; {
		end := bytes.Index(pending[at:], eventEnd)
		if end < 0 {
			return length
		}
		next := at + end + len(eventEnd)
		if _, numbered := eventID(pending[at:next]); numbered {
			length = next
		}
		at = next
	}
}

// endsWhole reports whether pending, the rest of a stream that has ended, holds whole
// events only. A stream without any event is not whole.
func endsWhole(pending []byte, started bool) bool {
	return bytes.HasSuffix(pending, eventEnd) || started && len(pending) == 0
}
