package jlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the log.
const (
	queueLines  = 1024
	linesPerS   = 400 // a node decides a few hundred requests a second at its peak
	burstLines  = 2000
	flushPeriod = 50 * time.Millisecond
)

// Writer is a writer of whole lines that never blocks. It is safe for concurrent
// use.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a writer to w, and starts its task.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{
		lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerS, burstLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never fails; a line that finds no room is counted.
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

// Dropped returns the number of lines dropped since the last report.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes the lines that wait and ends the task.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// run writes lines in batches.
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
		buf = l.gather(buf)
		if n := l.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
		}
		// There is nowhere to report that the log itself can't be written.
		_, _ = w.Write(buf)
		buf = buf[:0]
		if stopped {
			return
		}
	}
}

// gather appends the lines that wait.
func (l *Writer) gather(buf []byte) []byte {
	for {
		select {
		case b := <-l.lines:
			buf = append(buf, b...)
		default:
			return buf
		}
	}
}
