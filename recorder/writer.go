package recorder

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the number of log lines that may wait to be written.
const maxQueuedLines = 4096

// Writer writes log lines in the background. It never blocks: a line is dropped if the
// queue is full, and a later line reports the number of dropped lines. Lines after
// Close are dropped and counted by Late.
type Writer struct {
	out     io.Writer
	report  *slog.Logger
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	late    atomic.Uint64

	// mu keeps Close from closing lines during a Write.
	mu       sync.RWMutex
	isClosed bool
}

// NewWriter returns a Writer to out. Its Close writes the queued lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:    out,
		report: slog.New(slog.NewJSONHandler(out, nil)),
		lines:  make(chan []byte, maxQueuedLines),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.isClosed {
		w.late.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- copied:
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
		// A failed write is ignored, because there is nowhere else to report it.
		_, _ = w.out.Write(line)
	}
}

// reportDropped logs the number of lines that were dropped since its last call.
func (w *Writer) reportDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.report.Warn("log lines were dropped", EventLinesDropped.Attr(), slog.Uint64("count", dropped))
	}
}

// Late returns the number of lines that were dropped because they came after Close.
func (w *Writer) Late() uint64 { return w.late.Load() }

// Close writes the queued lines. Later calls do nothing.
func (w *Writer) Close() {
	w.mu.Lock()
	wasClosed := w.isClosed
	w.isClosed = true
	w.mu.Unlock()
	if !wasClosed {
		close(w.lines)
	}
	<-w.done
}
