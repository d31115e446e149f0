package endpoint

import (
	"io"
	"net/http"
	"sync"
)

// Faults lose single messages of the calls that they wrap. The zero value
// loses nothing; its methods may be called concurrently.
type Faults struct {
	mu          sync.Mutex
	loseSends   int
	loseAnswers int
	lostSends   int
	lostAnswers int
}

// Lost returns how many calls and how many answers were lost.
func (f *Faults) Lost() (sends, answers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostSends, f.lostAnswers
}

// LoseSends makes the next n wrapped calls vanish: the stand-in never sees
// them and the connection stays open without an answer.
func (f *Faults) LoseSends(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseSends = n
}

// LoseAnswers makes the next n wrapped calls take effect and cuts their
// connection before a byte of the answer.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// Wrap returns next under these faults.
func (f *Faults) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.take(&f.loseSends, &f.lostSends) {
			// The server notices a closed connection only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if f.take(&f.loseAnswers, &f.lostAnswers) {
			w = &abortingWriter{ResponseWriter: w}
		}
		next(w, r)
	}
}

func (f *Faults) take(counter, lost *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	*lost++
	return true
}

// abortingWriter cuts the connection at the first byte of the answer.
type abortingWriter struct{ http.ResponseWriter }

// WriteHeader cuts the connection.
func (*abortingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write cuts the connection.
func (*abortingWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
