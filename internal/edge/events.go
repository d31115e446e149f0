package edge

import (
	"bytes"
	"iter"
	"mime"
	"net/http"
)

// numberedLength returns the length of pending up to the end of the last complete event
// that has an ID. What follows may be no event at all and is kept until an event with
// an ID or the end of the stream follows.
func numberedLength(pending []byte) int {
	length := 0
	for at := 0; ; {
		block := blockLength(pending[at:])
		if block == 0 {
			return length
		}
		next := at + block
		if next == len(pending) && endsWithinCRLF(pending[at:next]) {
			return length
		}
		if _, numbered := eventID(pending[at:next]); numbered {
			length = next
		}
		at = next
	}
}

// endsWithinCRLF reports whether the LF of the blank line that ends an event is likely to follow:
// its lines end with CRLF, the last one with CR. Without that LF, a reader that looks for CRLF joins
// the event with the next one, which may come from another target.
func endsWithinCRLF(e []byte) bool {
	return bytes.HasSuffix(e, []byte("\r")) && bytes.Contains(e, []byte("\r\n"))
}

// firstEventLength returns the length of the first event of events, which end with a blank line,
// with the comments and blank lines before it.
func firstEventLength(events []byte) int {
	at := 0
	for at < len(events) {
		next := at + blockLength(events[at:])
		if next == at || !isPadding(events[at:next]) {
			return next
		}
		at = next
	}
	return at
}

// blockLength returns the length of text up to the end of its first blank line, which ends an
// event; zero if it has none.
func blockLength(text []byte) int {
	length := 0
	for line, size := range lines(text) {
		length += size
		if len(line) == 0 {
			return length
		}
	}
	return 0
}

// lines returns the lines of text without their ends, and their sizes with them. As in
// text/event-stream, a line ends with LF, CR or CRLF, and the last one may have no end.
func lines(text []byte) iter.Seq2[[]byte, int] {
	return func(yield func([]byte, int) bool) {
		for len(text) > 0 {
			size := bytes.IndexAny(text, "\r\n")
			line := text
			switch {
			case size < 0:
				size = len(text)
			case bytes.HasPrefix(text[size:], []byte("\r\n")):
				line, size = text[:size], size+2
			default:
				line, size = text[:size], size+1
			}
			if !yield(line, size) {
				return
			}
			text = text[size:]
		}
	}
}

// endsWithLine reports whether text is empty or ends with the end of a line.
func endsWithLine(text []byte) bool {
	return len(text) == 0 || bytes.ContainsAny(text[len(text)-1:], "\r\n")
}

// maySendEvents reports whether a body with the given header may be a stream of events. Without
// a type, its bytes decide.
func maySendEvents(h http.Header) bool {
	value := h.Get("Content-Type")
	if value == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(value)
	return err == nil && mediaType == "text/event-stream"
}

// isEvent reports whether bytes that end with a blank line are an event: an ID and lines of
// fields and comments. A target may send the text of an error, or the header of another answer,
// where an event is due.
func isEvent(block []byte) bool {
	_, numbered := eventID(block)
	return numbered && hasOnly(block, isField, isComment)
}

// isPadding reports whether bytes hold comments and blank lines only, which mean nothing.
func isPadding(block []byte) bool { return hasOnly(block, isComment) }

// hasOnly reports whether each line is blank or of one of the kinds.
func hasOnly(block []byte, kinds ...func(line []byte) bool) bool {
	for line := range lines(block) {
		known := len(line) == 0
		for _, kind := range kinds {
			known = known || kind(line)
		}
		if !known {
			return false
		}
	}
	return true
}

func isComment(line []byte) bool { return bytes.HasPrefix(line, []byte(":")) }

// isField reports whether a line begins with a name in lower case and a colon. Targets may add
// fields of their own to an event.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return found && len(name) > 0
}

// eventID returns the number of an event, which is the value of its only id field. With several
// fields, or one without a value, readers that take the first one and those that take the last
// one would number the event differently.
func eventID(e []byte) (int64, bool) {
	var id []byte
	found := false
	for line := range lines(e) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "id" {
			continue
		}
		if found {
			return 0, false
		}
		id, found = bytes.TrimPrefix(value, []byte(" ")), true
	}
	return parseEventNumber(string(id))
}
