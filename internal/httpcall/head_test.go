package httpcall_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// Guards against an answer that is used although its head is none of HTTP.
func TestMalformedHeadIsAnError(t *testing.T) {
	for answer, want := range map[string]error{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}":            httpcall.ErrInvalidStatus,
		"HTTP/1.1 601 OK\r\nContent-Length: 2\r\n\r\n{}":            httpcall.ErrInvalidStatus,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}":  httpcall.ErrInvalidName,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n{}":           httpcall.ErrInvalidName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n{}":  httpcall.ErrInvalidName,
		"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\n": nil,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			if conn, err := l.Accept(); err == nil {
				answerBoth(conn, answer)
			}
		}()
		got, err := httpcall.Do(t.Context(), httpcall.NewClient(), httpcall.Request{Method: http.MethodGet, URL: "http://" + l.Addr().String()}, 1<<20)
		var failed *httpcall.Error
		if !errors.As(err, &failed) || !failed.Sent || want != nil && !errors.Is(err, want) {
			t.Errorf("%q: %d %q, %v", answer, got.Status, got.Body, err)
		}
	}
}
