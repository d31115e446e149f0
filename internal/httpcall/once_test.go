package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
)

// resettingServer answers the first request of each connection, and resets the connection at the
// second. It keeps what it has received.
type resettingServer struct {
	listener net.Listener
	mu       sync.Mutex
	received []string
}

func newResettingServer(t *testing.T) *resettingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &resettingServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *resettingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for n := range 2 {
		head, err := readHead(requests)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, head)
		s.mu.Unlock()
		if n == 1 {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	}
}

// readHead reads a request without a body, or with one of a byte.
func readHead(r *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		head.WriteString(line)
		if line == "\r\n" {
			break
		}
	}
	if strings.Contains(head.String(), "Content-Length: 1\r\n") {
		_, err := r.ReadByte()
		return head.String(), err
	}
	return head.String(), nil
}

func (s *resettingServer) arrivals(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, head := range s.received {
		if strings.Contains(head, "Name: "+name+"\r\n") {
			out = append(out, head)
		}
	}
	return out
}

func newRequest(t *testing.T, method, address, name string, marked bool) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Name", name)
	if marked {
		req.Header.Set("Idempotency-Key", "k")
	}
	return req
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete, http.MethodPost, http.MethodPut, http.MethodPatch, "QUERY"}

// Guards against repeats of net/http that no retry budget and no log knows.
func TestRequestIsSentOnceOverAConnectionThatBreaks(t *testing.T) {
	for _, method := range methods {
		for _, marked := range []bool{false, true} {
			for _, body := range []string{"", "x"} {
				server := newResettingServer(t)
				kept := &http.Transport{DialContext: httpcall.CountWrites((&net.Dialer{}).DialContext)}
				single := &http.Transport{DisableKeepAlives: true}
				for _, name := range []string{"first", "second"} {
					req := newRequest(t, method, server.listener.Addr().String(), name, marked)
					through := kept
					if httpcall.NeedsNewConnection(method, req.Header, len(body)) {
						through = single
					}
					resp, _, err := httpcall.SendOnce(t.Context(), through, req, []byte(body))
					if err == nil {
						_ = resp.Body.Close()
					}
				}
				if got := len(server.arrivals("second")); got != 1 {
					t.Errorf("%s, marked %v, body %q: %d arrivals", method, marked, body, got)
				}
				kept.CloseIdleConnections()
			}
		}
	}
}

// Guards against a request that reaches its server changed by what stops net/http from repeating it.
func TestRequestIsSentAsNetHTTPWritesIt(t *testing.T) {
	for _, method := range methods {
		server := newResettingServer(t)
		address := server.listener.Addr().String()
		plain := newRequest(t, method, address, "r", false)
		for _, send := range []func() (*http.Response, error){
			func() (*http.Response, error) { return (&http.Transport{}).RoundTrip(plain) },
			func() (*http.Response, error) {
				resp, _, err := httpcall.SendOnce(t.Context(), &http.Transport{}, newRequest(t, method, address, "r", false), nil)
				return resp, err
			},
		} {
			resp, err := send()
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
		if got := server.arrivals("r"); len(got) != 2 || got[0] != got[1] {
			t.Errorf("%s: %q", method, got)
		}
	}
}

// fragileConn is a connection that fails each write once broken is set, without writing a byte.
type fragileConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c fragileConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, errors.New("broken")
	}
	return c.Conn.Write(p)
}

// Guards against a failure that a request owes to a kept connection which broke before it was used.
func TestKeptConnectionThatProvesDeadBeforeAByteIsReplaced(t *testing.T) {
	for _, method := range methods {
		for _, body := range []string{"", "x"} {
			server := newResettingServer(t)
			broken := &atomic.Bool{}
			var dialled atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if dialled.Add(1) > 1 {
					return conn, err
				}
				return fragileConn{conn, broken}, err
			}
			kept := &http.Transport{DialContext: httpcall.CountWrites(dial)}
			for _, name := range []string{"first", "second"} {
				resp, sending, err := httpcall.SendOnce(t.Context(), kept, newRequest(t, method, server.listener.Addr().String(), name, false), []byte(body))
				if err != nil || !sending.Begun() {
					t.Fatalf("%s, body %q, %s: %v", method, body, name, err)
				}
				_ = resp.Body.Close()
				broken.Store(true)
			}
			if got := server.arrivals("second"); len(got) != 1 || dialled.Load() != 2 {
				t.Errorf("%s, body %q: %d arrivals over %d connections", method, body, len(got), dialled.Load())
			}
			kept.CloseIdleConnections()
		}
	}
}

// Guards against replacements without end.
func TestRequestWhoseNewConnectionFailsIsNotSentAgain(t *testing.T) {
	var dialled atomic.Int64
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		dialled.Add(1)
		return nil, fmt.Errorf("dial %s: refused", address)
	}
	req := newRequest(t, http.MethodGet, "127.0.0.1:1", "r", false)
	resp, sending, err := httpcall.SendOnce(t.Context(), &http.Transport{DialContext: httpcall.CountWrites(dial)}, req, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	if err == nil || sending.Begun() || dialled.Load() != 1 {
		t.Errorf("%v after %d dials", err, dialled.Load())
	}
}
