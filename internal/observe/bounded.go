package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst bound the log of a process.
	logLinesPerSecond = 300
	logBurst          = 1500
	// logQueue is the number of lines that wait for a slow reader.
	logQueue = 2048
	// gatherFor is how long lines wait to be written together.
	gatherFor = 10 * time.Millisecond
	// droppedEvery is how often the number of lines left out is logged.
	droppedEvery = time.Second
)

// BoundedLog passes lines on without ever blocking its callers. Lines beyond
// its rate, or that a slow reader leaves no room for, are left out and counted.
type BoundedLog struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	// Dropped is told how many lines were left out since the last call; it may
	// be nil. It is called from a goroutine of the log.
	Dropped func(lines int64)
}

// NewBoundedLog starts a log that writes to out until Close.
func NewBoundedLog(out io.Writer) *BoundedLog {
	b := &BoundedLog{
		out:     out,
		lines:   make(chan []byte, logQueue),
		limiter: rate.NewLimiter(logLinesPerSecond, logBurst),
		done:    make(chan struct{}),
	}
	return b
}

// Run writes lines until Close, then those that still wait.
func (b *BoundedLog) Run() {
	ticker := time.NewTicker(droppedEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			time.Sleep(gatherFor)
			b.write(b.gather(line))
		case <-ticker.C:
			b.reportDropped()
		case <-b.done:
			b.drain()
			return
		}
	}
}

func (b *BoundedLog) drain() {
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

// gather appends the lines that wait to one.
func (b *BoundedLog) gather(lines []byte) []byte {
	for {
		select {
		case line := <-b.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
}

// write passes lines on. There is no other place to report its error to.
func (b *BoundedLog) write(line []byte) { _, _ = b.out.Write(line) }

func (b *BoundedLog) reportDropped() {
	if n := b.dropped.Swap(0); n > 0 && b.Dropped != nil {
		b.Dropped(n)
	}
}

// Write queues one line. It never blocks and never fails.
func (b *BoundedLog) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close ends the log after the lines that wait.
func (b *BoundedLog) Close() { b.once.Do(func() { close(b.done) }) }

// Logger returns a logger that writes to the log.
func (b *BoundedLog) Logger(level zapcore.Level) *zap.Logger { return NewLogger(b, level) }
