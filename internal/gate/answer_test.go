package gate

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// Guards against a result that a caller of HTTP/1.0 cannot tell from a part of it, as after the
// death of the gate.
func TestResultOfAnOperationStatesItsLength(t *testing.T) {
	for _, length := range []int{0, 1, 100_000} {
		outcome := peer.Finished{Body: bytes.Repeat([]byte("1"), length)}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g := &Gate{Options: Options{Clock: clockwork.NewRealClock()}}
			rs := newRequestState(g, admittedRequest{})
			rs.outcome = &outcome
			if err := (&answerWriter{g: g, w: w}).writeCall(r.Context(), rs); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, "POST / HTTP/1.0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if want := fmt.Sprintf("\r\nContent-Length: %d\r\n", length); err != nil || !bytes.Contains(answer, []byte(want)) {
			t.Errorf("%d bytes: %.200q, %v", length, answer, err)
		}
	}
}
