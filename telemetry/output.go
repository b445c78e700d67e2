package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// outputLines is how many lines wait for a reader that is slow.
	outputLines = 2048
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer without ever waiting for it. Lines that do
// not fit are dropped and counted, and the count is written once there is room.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	tomb    tomb.Tomb
}

// NewAsyncWriter returns an AsyncWriter to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	o := &AsyncWriter{w: w, lines: make(chan []byte, outputLines)}
	o.tomb.Go(o.run)
	return o
}

// Write implements io.Writer; it never fails.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last count was written.
func (o *AsyncWriter) Dropped() uint64 { return o.dropped.Load() }

// Close writes the lines that wait, for a short time at most.
func (o *AsyncWriter) Close() {
	o.tomb.Kill(nil)
	select {
	case <-o.tomb.Dead():
	case <-time.After(flushTimeout):
	}
}

func (o *AsyncWriter) run() error {
	for {
		select {
		case line := <-o.lines:
			o.write(line)
		case <-o.tomb.Dying():
			for {
				select {
				case line := <-o.lines:
					o.write(line)
				default:
					return nil
				}
			}
		}
	}
}

func (o *AsyncWriter) write(line []byte) {
	if dropped := o.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(o.w, "{\"event\":\"lines-dropped\",\"level\":\"warn\",\"count\":%d}\n", dropped)
	}
	_, _ = o.w.Write(line)
}
