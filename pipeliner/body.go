package pipeliner

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// requestBody is the body of a request. It closes atEnd when its end was reached.
type requestBody struct {
	io.ReadCloser
	raw         net.Conn
	onFirstRead func()
	once        sync.Once
	atEnd       chan struct{}

	mu          sync.Mutex
	hasDeadline bool
	hasEnded    bool
}

// setDeadline sets a deadline for reading the body. It has no effect once the end of
// the body was reached: the next bytes on the connection belong to another request.
func (b *requestBody) setDeadline(deadline time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasEnded {
		return nil
	}
	b.hasDeadline = true
	return b.raw.SetReadDeadline(deadline)
}

// end records that the end of the body was reached and removes the deadline.
func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hasEnded = true
	if b.hasDeadline {
		_ = b.raw.SetReadDeadline(time.Time{})
	}
	close(b.atEnd)
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.onFirstRead != nil {
		b.onFirstRead()
		b.onFirstRead = nil
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.end)
	}
	return n, err
}

// Close implements io.Closer. It does nothing: the rest of the body is drained when
// the answer is sent.
func (b *requestBody) Close() error { return nil }

// drain discards up to maxDrainBytes of the body and reports whether its end was
// reached. It does not read if the caller still waits for 100 Continue, as the body
// was not sent then, and stops after drainTimeout, so that a caller that sends slowly
// gets its answer without a long delay.
func (b *requestBody) drain() bool {
	if b.onFirstRead != nil || b.setDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, b, maxDrainBytes)
	select {
	case <-b.atEnd:
		return true
	default:
		return errors.Is(err, io.EOF)
	}
}
