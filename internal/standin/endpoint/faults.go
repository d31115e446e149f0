package endpoint

import (
	"io"
	"net/http"
	"sync"
)

// Faults drops requests and responses of the HTTP handlers that it wraps. The
// zero value drops nothing. Its methods may be called concurrently.
type Faults struct {
	mu          sync.Mutex
	loseSends   int
	loseAnswers int
	lostSends   int
	lostAnswers int
}

// Lost returns the numbers of requests and responses lost so far.
func (f *Faults) Lost() (sends, answers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostSends, f.lostAnswers
}

// LoseSends makes the next n requests get lost: the wrapped handler is not
// called, and the connection stays open without a response until the client
// closes it.
func (f *Faults) LoseSends(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseSends = n
}

// LoseAnswers makes the responses of the next n requests get lost: the wrapped
// handler runs until it writes to the response, and then the connection is
// closed without sending a byte. Requests lost by LoseSends are not counted.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// Wrap returns a handler that calls next and injects the faults of f.
func (f *Faults) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.consume(&f.loseSends, &f.lostSends) {
			// The server detects a closed connection only after the request body has
			// been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if f.consume(&f.loseAnswers, &f.lostAnswers) {
			w = &abortingWriter{ResponseWriter: w}
		}
		next(w, r)
	}
}

// consume reports whether the current message is to be lost. If so, it
// decrements remaining and increments lost.
func (f *Faults) consume(remaining, lost *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *remaining <= 0 {
		return false
	}
	*remaining--
	*lost++
	return true
}

// abortingWriter closes the connection when the handler writes the first part
// of the response.
type abortingWriter struct{ http.ResponseWriter }

// WriteHeader closes the connection.
func (*abortingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write closes the connection.
func (*abortingWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
