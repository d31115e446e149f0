package edge

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/membudget"
)

const (
	// slowWrite is how long the caller of a stream may take for its events before the answer
	// of the target is read on meanwhile. A target cuts an answer that stays unread for some
	// seconds.
	slowWrite = 100 * time.Millisecond
	// maxAhead bounds what is read of a stream before its caller takes it, in bytes.
	maxAhead = 1 << 20
	// aheadPiece is the length of one read meanwhile, in bytes.
	aheadPiece = 4 << 10
)

var errSlowCaller = errors.New("the caller takes up the stream too slowly")

// aheadReader reads the answer of a target. Once a write to the caller has taken long, a
// goroutine reads it on within the budget of the host. Read, beginWrite and endWrite must be
// called from one goroutine.
type aheadReader struct {
	body    io.Reader
	account *membudget.Account
	timer   *time.Timer

	mu sync.Mutex
	// changed is signaled when any of the fields below has changed.
	changed *sync.Cond
	// writing is true between beginWrite and endWrite. ahead is true once the goroutine reads
	// the body.
	writing, ahead, closed bool
	// read is what the goroutine has read and the stream has not taken, err how it ended.
	read []byte
	err  error
}

// newAheadReader returns a reader of body. It never reads ahead without a bounded budget.
func newAheadReader(body io.Reader, budget *membudget.Budget) *aheadReader {
	a := &aheadReader{body: body, account: budget.Open()}
	a.changed = sync.NewCond(&a.mu)
	if budget.Bounded() {
		a.timer = time.AfterFunc(time.Hour, a.start)
		a.timer.Stop()
	}
	return a
}

// Read implements io.Reader.
func (a *aheadReader) Read(p []byte) (int, error) {
	a.mu.Lock()
	if !a.ahead {
		a.mu.Unlock()
		return a.body.Read(p)
	}
	defer a.mu.Unlock()
	for len(a.read) == 0 && a.err == nil {
		a.changed.Wait()
	}
	if len(a.read) == 0 {
		return 0, a.err
	}
	n := copy(p, a.read)
	a.read = a.read[n:]
	a.account.Arrived(n)
	a.account.Release(int64(n))
	a.changed.Broadcast()
	return n, nil
}

// beginWrite tells that the caller is being sent what was read.
func (a *aheadReader) beginWrite() {
	if a.timer == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = true
	if !a.ahead {
		a.timer.Reset(slowWrite)
	}
}

// endWrite tells that the caller has taken it.
func (a *aheadReader) endWrite() {
	if a.timer == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.timer.Stop()
}

// close ends the reading ahead. The body must be closed soon.
func (a *aheadReader) close() {
	a.endWrite()
	a.end(io.ErrClosedPipe)
}

// end gives up what was read.
func (a *aheadReader) end(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.read, a.err = nil, err
	a.account.Close()
	a.changed.Broadcast()
}

// start begins to read ahead, if the write still takes its time.
func (a *aheadReader) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.writing || a.ahead || a.closed {
		return
	}
	a.ahead = true
	a.account.AllowEviction(func() { a.end(slowCallerError()) })
	go a.readAhead()
}

func slowCallerError() error {
	return errkind.Wrap(errSlowCaller, errkind.CancelledWhileRunning, "the caller takes up the stream too slowly, and the host has no memory for the rest")
}

func (a *aheadReader) readAhead() {
	piece := make([]byte, aheadPiece)
	for a.awaitRoom() {
		n, err := a.body.Read(piece)
		if !a.account.Reserve(int64(n)) {
			a.end(slowCallerError())
			return
		}
		if !a.append(piece[:n], err) {
			return
		}
	}
}

// awaitRoom waits until less than maxAhead is waiting to be taken. It returns false at the end.
func (a *aheadReader) awaitRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.read) >= maxAhead && !a.closed {
		a.changed.Wait()
	}
	return !a.closed
}

// append adds what was read and returns false at the end.
func (a *aheadReader) append(piece []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		// Reserved after end.
		a.account.Close()
		return false
	}
	a.read = append(a.read, piece...)
	a.err = err
	a.changed.Broadcast()
	return err == nil
}
