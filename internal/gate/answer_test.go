package gate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// Guards against a plain answer whose end is only that of its connection: a caller of HTTP/1.0
// would take what a killed gate has sent for the whole answer.
func TestPlainAnswerHasALengthForACallerOfHTTP10(t *testing.T) {
	body := strings.Repeat("x", 64<<10)
	g := New(context.Background(), Options{Clock: clockwork.NewRealClock(), Logger: zap.NewNop()})
	rs := newRequestState(g, admittedRequest{msg: peer.Submit{ID: "h1.x"}})
	rs.finish(peer.Finished{Body: []byte(body)})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &answerWriter{g: g, w: w, arrived: g.Clock.Now()}
		if err := answer.writeCall(r.Context(), rs); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != body || resp.ContentLength != int64(len(body)) {
		t.Errorf("%d bytes, length %d in the header, want %d: %v", len(got), resp.ContentLength, len(body), err)
	}
}

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
