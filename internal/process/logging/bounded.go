package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// queuedLines bounds the lines that wait for a slow reader.
const queuedLines = 8192

// droppedLines counts the lines that found no room.
var droppedLines = metrics.NewCounter(`arbutus_log_lines_dropped_total`)

// NewBounded returns a logger like New that never waits for its output:
// lines that find no room are dropped and counted, and a line says how many
// once there is room again. Flush writes out what waits.
func NewBounded(out io.Writer, program, id, zone string) (log *slog.Logger, flush func()) {
	w := &boundedWriter{lines: make(chan []byte, queuedLines), flushes: make(chan chan struct{})}
	go w.run(out)
	return New(w, program, id, zone), w.flush
}

// boundedWriter hands lines to a goroutine that writes them.
type boundedWriter struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// Write queues one line. It never waits and never fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	// The handler reuses its buffer.
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

func (w *boundedWriter) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case done := <-w.flushes:
			w.drain(out)
			close(done)
		}
	}
}

func (w *boundedWriter) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		default:
			return
		}
	}
}

// write writes a line. Where the output fails there is nowhere to say so.
func (w *boundedWriter) write(out io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	_, _ = out.Write(line)
}

func (w *boundedWriter) flush() {
	done := make(chan struct{})
	w.flushes <- done
	<-done
}
