package recorder

import (
	"io"
	"sync/atomic"
)

// queuedLines is the number of log lines that may wait to be written.
const queuedLines = 4096

// Writer writes log lines in the background. It never blocks: a line that finds
// the queue full is dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a Writer to out. Close it to write what waits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It keeps a copy of the line.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// There is no place to report a failed write of the log to.
		_, _ = w.out.Write(line)
	}
}

// Close writes the lines that wait. No line may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
