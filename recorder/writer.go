package recorder

import (
	"io"
	"log/slog"
	"sync/atomic"
)

// queuedLines is the number of log lines that may wait to be written.
const queuedLines = 4096

// Writer writes log lines in the background. It never blocks: a line that finds
// the queue full is dropped, and a line says later how many were.
type Writer struct {
	out     io.Writer
	report  *slog.Logger
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a Writer to out. Close it to write what waits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:    out,
		report: slog.New(slog.NewJSONHandler(out, nil)),
		lines:  make(chan []byte, queuedLines),
		done:   make(chan struct{}),
	}
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

func (w *Writer) run() {
	defer close(w.done)
	defer w.reportDropped()
	for line := range w.lines {
		w.reportDropped()
		// There is no place to report a failed write of the log to.
		_, _ = w.out.Write(line)
	}
}

// reportDropped says how many lines were dropped since it was last called.
func (w *Writer) reportDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.report.Warn("log lines were dropped", EventLinesDropped.Attr(), slog.Uint64("count", dropped))
	}
}

// Close writes the lines that wait. No line may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
