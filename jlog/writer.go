package jlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the queue and of the rate of lines, and the time over which lines are batched.
const (
	queueLines     = 1024
	linesPerSecond = 400 // a node handles a few hundred requests a second at its peak
	burstLines     = 2000
	flushPeriod    = 50 * time.Millisecond
)

// Writer writes lines in the background, so that Write never blocks. It is safe for
// concurrent use.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer that writes to w, and starts its goroutine, which runs until
// Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{
		lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go l.run(w)
	return l
}

// Write implements io.Writer. Each call must pass one whole line. It never blocks or
// fails; a line that can't be queued is dropped and counted.
func (l *Writer) Write(b []byte) (int, error) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped since the last line that reported drops.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and ends the goroutine. It blocks as long as the
// underlying writer does. Further calls have no effect; lines written after Close are
// lost.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// run writes lines to w in batches until Close is called.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	var buf []byte
	for {
		stopped := false
		select {
		case b := <-l.lines:
			buf = append(buf, b...)
		case <-l.stop:
			stopped = true
		}
		if !stopped {
			select {
			case <-l.stop:
				stopped = true
			case <-time.After(flushPeriod):
			}
		}
		buf = l.appendQueued(buf)
		if n := l.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
		}
		// An error is ignored, since there is nowhere else to report it.
		_, _ = w.Write(buf)
		buf = buf[:0]
		if stopped {
			return
		}
	}
}

// appendQueued appends the queued lines to buf without waiting for more.
func (l *Writer) appendQueued(buf []byte) []byte {
	for {
		select {
		case b := <-l.lines:
			buf = append(buf, b...)
		default:
			return buf
		}
	}
}
