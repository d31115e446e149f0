package edge

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

func FuzzEventID(f *testing.F) {
	f.Add([]byte("id: 12\ndata: x\n\n"))
	f.Add([]byte("data: id: 3\n\n"))
	f.Fuzz(func(t *testing.T, e []byte) {
		if _, numbered := eventID(e); numbered && !bytes.Contains(e, []byte("id:")) {
			t.Errorf("%q has no id", e)
		}
	})
}

// FuzzReadersSeeTheEventsThatAreRelayed guards against bytes that are one event here and several,
// or one with another ID, at the reader of the stream.
func FuzzReadersSeeTheEventsThatAreRelayed(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n: x\r\nid:2\r\ndata: b\r\n\r\n", "id: 1\rdata: a\r\rid: 2\r\r",
		"id: 1\ndata: a\r\rid: 9\n\n", "id: 1\n\r\nid: 9\n\n", ": x\rid: 9\nid: 1\n\n", "id: 1\nid: 9\n\n", "id: 1\nid\n\n", "\n\nid: 1\n\r",
	} {
		for cut := range len(text) {
			f.Add([]byte(text), cut)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		if cut < 0 || cut > len(text) {
			return
		}
		sent, ids := relayInParts(text[:cut], text[cut:])
		if want := idsOfAReader(sent); !slices.Equal(ids, want) {
			t.Errorf("%q in parts of %d and more: relayed %v of %q, a reader sees %v", text, cut, ids, sent, want)
		}
		if _, whole := relayInParts(text); !slices.Equal(whole, ids) {
			t.Errorf("%q: relayed %v in one part, %v in parts of %d and more", text, whole, ids, cut)
		}
	})
}

// relayInParts returns the bytes that are relayed of a stream that arrives in parts, and the IDs
// of its events.
func relayInParts(parts ...[]byte) (sent []byte, ids []string) {
	var pending []byte
	for _, part := range parts {
		pending = append(pending, part...)
		events := pending[:numberedLength(pending)]
		pending = pending[len(events):]
		for len(events) > 0 {
			e := events[:firstEventLength(events)]
			if !isEvent(e) {
				return sent, ids
			}
			id, _ := eventID(e)
			sent, ids = append(sent, e...), append(ids, numbered(id).String())
			events = events[len(e):]
		}
	}
	return sent, ids
}

// idsOfAReader returns the ID after each event of a stream, as the format text/event-stream
// defines it.
func idsOfAReader(stream []byte) []string {
	text := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(stream))
	var ids []string
	last, fields := "", false
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && fields:
			ids, fields = append(ids, "event "+last), false
		case line == "" || name == "":
		default:
			fields = true
			if name == "id" && !strings.Contains(value, "\x00") {
				last = strings.TrimPrefix(value, " ")
			}
		}
	}
	return ids
}
