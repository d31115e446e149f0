package edge

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// heldBody delivers a number of bytes and then nothing until it is released.
type heldBody struct {
	left     int
	held     *atomic.Int64
	allHold  *sync.WaitGroup
	released chan struct{}
	holds    bool
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.holds = true
		b.allHold.Done()
		<-b.released
		return 0, io.EOF
	}
	n := min(len(p), b.left, readBufferSize)
	b.left -= n
	b.held.Add(int64(n))
	return n, nil
}

func TestManyLongBodiesAtOnceStayWithinTheirBound(t *testing.T) {
	const requests = 100
	server := &Server{}
	var held atomic.Int64
	var allHold, done sync.WaitGroup
	released := make(chan struct{})
	for range requests {
		allHold.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			ex := &exchange{server: server}
			defer ex.releaseBodies()
			body := &heldBody{left: MaxBufferedBody, held: &held, allHold: &allHold, released: released}
			data, err := ex.readBody(body)
			switch {
			case body.holds && (err != nil || len(data) != MaxBufferedBody):
				t.Errorf("%d bytes and error %v of a body of %d bytes", len(data), err, MaxBufferedBody)
			case !body.holds && !errors.Is(err, errBodiesTooLong):
				t.Errorf("error %v of a body for which there is no room", err)
			}
			if !body.holds {
				held.Add(int64(body.left - MaxBufferedBody))
				allHold.Done()
			}
		}()
	}
	allHold.Wait()
	if got := held.Load(); got > maxBufferedBodies+requests*ordinaryBody {
		t.Errorf("%d bytes in memory at once, want %d at most", got, maxBufferedBodies+requests*ordinaryBody)
	}
	close(released)
	done.Wait()
	if left := server.bufferedBytes.Load(); left != 0 {
		t.Errorf("%d bytes still count after all requests have ended", left)
	}
}

func TestOrdinaryBodyIsReadBesideLongOnes(t *testing.T) {
	server := &Server{}
	server.bufferedBytes.Store(2 * maxBufferedBodies)
	ex := &exchange{server: server}
	if data, err := ex.readBody(strings.NewReader(strings.Repeat("x", ordinaryBody))); err != nil || len(data) != ordinaryBody {
		t.Errorf("%d bytes, error %v", len(data), err)
	}
	if _, err := ex.readBody(strings.NewReader(strings.Repeat("x", ordinaryBody+1))); !errors.Is(err, errBodiesTooLong) {
		t.Errorf("a long body: error %v", err)
	}
	if ex.bufferedBytes != ordinaryBody {
		t.Errorf("%d bytes count, want those of the body that was read", ex.bufferedBytes)
	}
}
