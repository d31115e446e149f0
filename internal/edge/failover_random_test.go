package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// randomSeed seeds what the targets and callers of a random test do.
	randomSeed = 1
	// randomStreams is the number of streams, randomEvents the length of each.
	randomStreams = 600
	randomEvents  = 12
	randomTargets = 40
)

// randomTransport is targets that refuse, cannot be reached or fall silent at random.
type randomTransport struct {
	clock clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	// active counts the calls in progress of each request, runs its targets. twice
	// counts the calls that began beside another one.
	active map[string]int
	runs   map[string]map[tables.TargetID]bool
	twice  int
}

func (x *randomTransport) intN(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.random.IntN(n)
}

func (x *randomTransport) Send(ctx context.Context, t fleet.Target, c Call) (*Response, error) {
	switch x.intN(12) {
	case 0:
		return nil, &SendError{Delivery: NotRun, Cause: io.ErrClosedPipe}
	case 1:
		return nil, &SendError{Delivery: Unsent, Cause: io.ErrClosedPipe}
	}
	x.begin(c.Request.ID, t.ID)
	last, _ := strconv.Atoi(c.LastEventID)
	body := &randomBody{ctx: ctx, transport: x, request: c.Request.ID, next: last + 1}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: body}, nil
}

func (x *randomTransport) begin(request string, target tables.TargetID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active[request]++
	if x.active[request] > 1 {
		x.twice++
	}
	if x.runs[request] == nil {
		x.runs[request] = make(map[tables.TargetID]bool)
	}
	x.runs[request][target] = true
}

func (x *randomTransport) end(request string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active[request]--
}

// mostTargets returns the largest number of targets that ran one request.
func (x *randomTransport) mostTargets() int {
	most := 0
	for _, targets := range x.runs {
		most = max(most, len(targets))
	}
	return most
}

// randomBody is a stream with gaps of up to 60 ms and, now and then, of up to 3 s.
type randomBody struct {
	ctx       context.Context
	transport *randomTransport
	request   string
	next      int
	once      sync.Once
}

func (b *randomBody) Read(p []byte) (int, error) {
	if b.next > randomEvents {
		return 0, io.EOF
	}
	gapMS := b.transport.intN(60)
	if b.transport.intN(12) == 0 {
		gapMS = b.transport.intN(3000)
	}
	select {
	case <-b.transport.clock.After(time.Duration(gapMS) * time.Millisecond):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := copy(p, numberedEvent(b.next))
	b.next++
	return n, nil
}

func (b *randomBody) Close() error {
	b.once.Do(func() { b.transport.end(b.request) })
	return nil
}

func numberedEvent(n int) string { return fmt.Sprintf("id: %d\ndata: a\n\n", n) }

// serveRandom serves a stream and returns its caller. Each tenth caller leaves.
func (e *testServer) serveRandom(ctx context.Context, x *randomTransport, n int) *recordedCaller {
	caller := &recordedCaller{written: make(chan struct{}, 2*randomEvents)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if n%10 == 0 {
		leave := e.clock.AfterFunc(time.Duration(x.intN(3000))*time.Millisecond, cancel)
		defer leave.Stop()
	}
	e.Serve(ctx, &Request{ID: strconv.Itoa(n), Host: "h", URI: "/x", Path: "/x", Header: http.Header{}, Arrived: e.clock.Now(), Fingerprint: tables.Fingerprint(n + 1)}, caller)
	return caller
}

// sound reports whether the caller received a whole stream, or a part of it or nothing and
// can tell so.
func (c *recordedCaller) sound() bool {
	var whole strings.Builder
	for n := 1; n <= randomEvents; n++ {
		whole.WriteString(numberedEvent(n))
	}
	got := c.body.String()
	return strings.HasPrefix(whole.String(), got) && (got == whole.String() || c.aborted || c.refused != nil)
}

// runClock lets the fake time pass at a hundred times the pace of the real one.
func (e *testServer) runClock(ctx context.Context) {
	for ctx.Err() == nil {
		e.clock.Advance(20 * time.Millisecond)
		time.Sleep(200 * time.Microsecond)
	}
}

// slotsInUse returns the number of slots in use, which the coordinator logs with a refusal.
func (e *testServer) slotsInUse(ctx context.Context, logs *observer.ObservedLogs) int64 {
	var all []tables.TargetID
	for _, t := range e.directory.Targets() {
		all = append(all, t.ID)
	}
	logs.TakeAll()
	_, _ = e.slots.inner.Acquire(ctx, pool.SlotRequest{Service: "s", FirstByteBudget: time.Second, Avoid: all})
	inUse := int64(-1)
	for _, entry := range logs.All() {
		if n, ok := entry.ContextMap()["in_use"].(int64); ok {
			inUse = n
		}
	}
	return inUse
}

func TestNoSlotAndNoCallIsLeftOverWhenTargetsFallSilentAtRandom(t *testing.T) {
	goroutines := runtime.NumGoroutine()
	core, logs := observer.New(zapcore.InfoLevel)
	route := resumableStream(3)
	e := newTestServer(t, zap.New(core), route, randomTargets)
	x := &randomTransport{clock: e.clock, random: rand.New(rand.NewPCG(randomSeed, 0)), active: map[string]int{}, runs: map[string]map[tables.TargetID]bool{}}
	e.Transport = x
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.runClock(ctx)
	callers := make([]*recordedCaller, randomStreams)
	var wg sync.WaitGroup
	for n := range randomStreams {
		<-e.clock.After(50 * time.Millisecond)
		wg.Go(func() { callers[n] = e.serveRandom(ctx, x, n) })
	}
	wg.Wait()
	wrong, whole := 0, 0
	for _, c := range callers {
		switch {
		case !c.sound():
			wrong++
		case !c.aborted && c.refused == nil:
			whole++
		}
	}
	inUse := e.slotsInUse(ctx, logs)
	t.Logf("whole %d of %d, wrong %d; at two targets at once %d; most targets of a request %d; slots in use at the end %d; goroutines %d before, %d after",
		whole, randomStreams, wrong, x.twice, x.mostTargets(), inUse, goroutines, runtime.NumGoroutine())
	if wrong > 0 || x.twice > 0 || x.mostTargets() > route.MaxTargets || inUse != 0 || whole < randomStreams/2 {
		t.Fail()
	}
}
