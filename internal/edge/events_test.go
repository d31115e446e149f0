package edge

import "testing"

func TestNumberedLength(t *testing.T) {
	const event = "id: 4\ndata: x\n\n"
	for _, c := range []struct {
		pending string
		want    int
	}{
		{"", 0},
		{"id: 4\ndata: x\n", 0},
		{event, len(event)},
		{event + event + "id: 5\n", 2 * len(event)},
		{"\n\n\n\n", 0},
		{event + "data: y\n\n", len(event)},
		{"\n\n" + event, len("\n\n" + event)},
		{"weight-versions: 3\n" + event + ": x\n\n", len("weight-versions: 3\n" + event)},
	} {
		if got := numberedLength([]byte(c.pending)); got != c.want {
			t.Errorf("%q: %d, want %d", c.pending, got, c.want)
		}
	}
}

func TestEndsWhole(t *testing.T) {
	for _, c := range []struct {
		pending string
		started bool
		want    bool
	}{
		{"", true, true},
		{"", false, false},
		{"data: done\n\n", true, true},
		{"data: done\n\n", false, true},
		{"data: do", true, false},
		{"data: done\n\nda", true, false},
	} {
		if got := endsWhole([]byte(c.pending), c.started); got != c.want {
			t.Errorf("%q, started %v: %v, want %v", c.pending, c.started, got, c.want)
		}
	}
}
