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
	// logLinesPerSecond and logBurst limit the lines that a process logs.
	logLinesPerSecond = 300
	logBurst          = 1500
	// logQueueLines is the maximum number of lines that wait to be written.
	logQueueLines = 2048
	// batchDelay is how long Run waits for further lines to write together with the
	// first one.
	batchDelay = 10 * time.Millisecond
	// droppedReportInterval is how often the number of dropped lines is reported.
	droppedReportInterval = time.Second
)

// BoundedLog is a log writer that never blocks its callers. It drops and counts lines
// that exceed its rate or that do not fit in its queue because the output is slow. It
// is safe for concurrent use.
type BoundedLog struct {
	out          io.Writer
	lines        chan []byte
	limiter      *rate.Limiter
	droppedLines atomic.Int64
	done         chan struct{}
	// finished is closed when Run has returned.
	finished chan struct{}
	once     sync.Once
	// OnDropped is called from Run with the number of lines dropped since the last
	// call; it may be nil.
	OnDropped func(lines int64)
}

// NewBoundedLog returns a log that writes to out. Lines are queued until Run is called.
func NewBoundedLog(out io.Writer) *BoundedLog {
	b := &BoundedLog{
		out:      out,
		lines:    make(chan []byte, logQueueLines),
		limiter:  rate.NewLimiter(logLinesPerSecond, logBurst),
		done:     make(chan struct{}),
		finished: make(chan struct{}),
	}
	return b
}

// Run writes lines until Close is called, and then those that are still queued.
func (b *BoundedLog) Run() {
	defer close(b.finished)
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			time.Sleep(batchDelay)
			b.write(b.appendQueued(line))
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

// appendQueued appends the queued lines to lines.
func (b *BoundedLog) appendQueued(lines []byte) []byte {
	for {
		select {
		case line := <-b.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
}

// write writes lines to the output. It ignores errors, because there is nowhere else
// to log them.
func (b *BoundedLog) write(lines []byte) { _, _ = b.out.Write(lines) }

func (b *BoundedLog) reportDropped() {
	if n := b.droppedLines.Swap(0); n > 0 && b.OnDropped != nil {
		b.OnDropped(n)
	}
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (b *BoundedLog) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.droppedLines.Add(1)
	}
	return len(line), nil
}

// Close makes Run write the queued lines and return. Calling it again has no effect.
func (b *BoundedLog) Close() { b.once.Do(func() { close(b.done) }) }

// AwaitWritten waits until Run has written all lines after Close, at most for limit.
func (b *BoundedLog) AwaitWritten(limit time.Duration) {
	select {
	case <-b.finished:
	case <-time.After(limit):
	}
}

// Logger returns a logger that writes to the log.
func (b *BoundedLog) Logger(level zapcore.Level) *zap.Logger { return NewLogger(b, level) }
