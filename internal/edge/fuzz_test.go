package edge

import (
	"bytes"
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
