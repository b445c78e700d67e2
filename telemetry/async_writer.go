package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// bufferedLines is how many lines are buffered while the writer blocks.
	bufferedLines = 2048
	// priorityLines is how many more with priority are: several seconds of those about
	// requests that are not idempotent, at their limits.
	priorityLines = 8192
	// flushTimeout limits how long Close waits for the buffered lines.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer from a goroutine of its own, so that
// Write never blocks. Lines that do not fit in the buffer are dropped, those with priority
// last; the numbers of dropped lines are written before the next line.
type AsyncWriter struct {
	w               io.Writer
	lines           chan []byte
	dropped         atomic.Uint64
	droppedPriority atomic.Uint64
	tomb            tomb.Tomb
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, bufferedLines+priorityLines)}
	a.tomb.Go(a.run)
	return a
}

// Write implements io.Writer for one line; it never blocks or fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if len(a.lines) >= bufferedLines {
		a.dropped.Add(1)
		return len(line), nil
	}
	return a.add(line, &a.dropped)
}

// Priority returns a writer for lines with priority, in one order with the others; its Write
// never blocks or fails.
func (a *AsyncWriter) Priority() io.Writer { return priorityWriter{a} }

type priorityWriter struct{ writer *AsyncWriter }

func (p priorityWriter) Write(line []byte) (int, error) {
	return p.writer.add(line, &p.writer.droppedPriority)
}

// add adds a line to the buffer, and counts it in dropped if there is no room.
func (a *AsyncWriter) add(line []byte, dropped *atomic.Uint64) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last count was written.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() + a.droppedPriority.Load() }

// Close writes the buffered lines; it returns after flushTimeout at the latest.
func (a *AsyncWriter) Close() {
	a.tomb.Kill(nil)
	select {
	case <-a.tomb.Dead():
	case <-time.After(flushTimeout):
	}
}

func (a *AsyncWriter) run() error {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.tomb.Dying():
			for {
				select {
				case line := <-a.lines:
					a.write(line)
				default:
					return nil
				}
			}
		}
	}
}

func (a *AsyncWriter) write(line []byte) {
	dropped, priority := a.dropped.Swap(0), a.droppedPriority.Swap(0)
	if dropped+priority > 0 {
		_, _ = fmt.Fprintf(a.w, "{\"event\":\"lines-dropped\",\"level\":\"warn\",\"count\":%d,\"priority\":%d}\n", dropped+priority, priority)
	}
	_, _ = a.w.Write(line)
}
