package httpcall_test

import (
	"bufio"
	"compress/gzip"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// serveCut answers the first request of each connection whole and the second with a part of an
// answer, and closes the connection.
func serveCut(t *testing.T, whole, part string) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerBoth(conn, whole, part)
		}
	}()
	return "http://" + l.Addr().String()
}

func answerBoth(conn net.Conn, answers ...string) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for _, answer := range answers {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		// Errors mean that the caller has closed the connection.
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, answer)
	}
}

// Guards against an answer that is taken for whole although its server closed a kept connection
// in the middle of it.
func TestAnswerThatIsCutOnAKeptConnectionIsAnError(t *testing.T) {
	const body = `{"ok":true}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, answer := range map[string]string{
		"with a length": whole,
		"in chunks":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"after interim": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + whole,
	} {
		for length := 1; length < len(answer); length++ {
			call := httpcall.Request{Method: http.MethodPost, URL: serveCut(t, whole, answer[:length]), Body: []byte("{}")}
			client := httpcall.NewClient()
			if _, err := httpcall.Do(t.Context(), client, call, 1<<20); err != nil {
				t.Fatal(err)
			}
			if got, err := httpcall.Do(t.Context(), client, call, 1<<20); err == nil {
				t.Errorf("%s, cut after %d of %d bytes: %q", name, length, len(answer), got.Body)
			}
			client.CloseIdleConnections()
		}
	}
}

// Guards against a cut answer that is taken for whole since the end of its connection is the only
// end that it has.
func TestAnswerWithoutALengthOrChunksIsAnError(t *testing.T) {
	for name, body := range map[string]string{
		"a number cut in its middle": "12",
		"no byte of the body":        "",
		"a whole body":               `{"ok":true}`,
	} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
			"HTTP/1.0 200 OK\r\n\r\n",
			"HTTP/1.1 503 Service Unavailable\r\n\r\n",
		} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				if conn, err := l.Accept(); err == nil {
					answerBoth(conn, head+body)
				}
			}()
			got, err := httpcall.Do(t.Context(), httpcall.NewClient(), httpcall.Request{Method: http.MethodGet, URL: "http://" + l.Addr().String()}, 1<<20)
			var failed *httpcall.Error
			if !errors.Is(err, httpcall.ErrUnframed) || !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("%s after %q: %d %q, %v", name, head, got.Status, got.Body, err)
			}
		}
	}
}

// Guards against whole answers that are refused since their end is stated in another way than by a
// length or chunks.
func TestAnswerWhoseEndIsStatedIsWhole(t *testing.T) {
	const text = `{"ok":true}`
	compressed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		zip := gzip.NewWriter(w)
		_, _ = io.WriteString(zip, text)
		_ = zip.Close()
	}
	flushed := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	for name, c := range map[string]struct {
		handle http.HandlerFunc
		http2  bool
		want   string
	}{
		"with a length": {handle: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }, want: text},
		"in chunks":     {handle: flushed, want: text},
		"over HTTP/2":   {handle: flushed, http2: true, want: text},
		"compressed":    {handle: compressed, want: text},
		"204":           {handle: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }},
		"304":           {handle: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }},
	} {
		server := httptest.NewUnstartedServer(c.handle)
		server.EnableHTTP2 = c.http2
		server.StartTLS()
		t.Cleanup(server.Close)
		client := httpcall.NewClient()
		transport, ok := client.Transport.(*http.Transport)
		if !ok {
			t.Fatalf("transport %T", client.Transport)
		}
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
		got, err := httpcall.Do(t.Context(), client, httpcall.Request{Method: http.MethodGet, URL: server.URL}, 1<<20)
		if err != nil || string(got.Body) != c.want {
			t.Errorf("%s: %q, %v", name, got.Body, err)
		}
	}
}
