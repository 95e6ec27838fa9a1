package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines bounds the lines that wait for a slow reader of the output.
const maxQueuedLines = 8192

// Lines are written in chunks, since each write is a system call.
const (
	// writeDelay is how long a line may wait for others.
	writeDelay = 20 * time.Millisecond
	// maxChunkBytes bounds a chunk of several lines. A write of up to this size to a pipe is
	// atomic (PIPE_BUF on Linux), so that a process that is killed leaves no part
	// of a line, to which the next process would append its first one.
	maxChunkBytes = 4096
)

// droppedLines counts the lines that were dropped because the queue was full.
var droppedLines = metrics.NewCounter(`arbutus_log_lines_dropped_total`)

// NewBounded returns a logger like New that never blocks on its output. Lines
// are dropped and counted while the queue is full, and the next line that is
// written is preceded by one with the number of dropped lines. The function
// flush writes out the queued lines.
func NewBounded(out io.Writer, program, id, zone string) (log *slog.Logger, flush func()) {
	w := &boundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
	go w.run()
	return New(w, program, id, zone), w.flush
}

// boundedWriter queues lines for a goroutine that writes them.
type boundedWriter struct {
	out     io.Writer
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	// The log handler reuses its buffer.
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// run writes queued lines forever.
func (w *boundedWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.collect(line)
		case done := <-w.flushes:
			w.writeQueued(chunk{})
			close(done)
		}
	}
}

// chunk collects whole lines for one write.
type chunk struct{ bytes []byte }

// add appends a line. If the chunk would grow beyond its limit, add first writes
// the lines that it holds.
func (c *chunk) add(line []byte, write func([]byte)) {
	if len(c.bytes) > 0 && len(c.bytes)+len(line) > maxChunkBytes {
		write(c.bytes)
		c.bytes = c.bytes[:0]
	}
	c.bytes = append(c.bytes, line...)
}

// collect waits until the delay is over and writes the lines that came until
// then, in one chunk or more.
func (w *boundedWriter) collect(first []byte) {
	c := chunk{bytes: first}
	delay := time.NewTimer(writeDelay)
	defer delay.Stop()
	for {
		select {
		case line := <-w.lines:
			c.add(line, w.write)
		case <-delay.C:
			w.write(c.bytes)
			return
		case done := <-w.flushes:
			w.writeQueued(c)
			close(done)
			return
		}
	}
}

// writeQueued writes a chunk and the lines that are in the queue.
func (w *boundedWriter) writeQueued(c chunk) {
	for {
		select {
		case line := <-w.lines:
			c.add(line, w.write)
		default:
			w.write(c.bytes)
			return
		}
	}
}

// write writes whole lines. Errors of the output are ignored, since there is
// nowhere to report them.
func (w *boundedWriter) write(lines []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

// flush blocks until all lines queued before the call are written.
func (w *boundedWriter) flush() {
	done := make(chan struct{})
	w.flushes <- done
	<-done
}
