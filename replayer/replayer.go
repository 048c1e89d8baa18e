// Package replayer buffers request bodies so that they can be sent again from their
// start.
//
// # Usage
//
//	body := replayer.New(request.Body)
//	first, _ := body.Attempt()
//	// ... the first attempt fails ...
//	second, ok := body.Attempt()
package replayer

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// MaxBytes is the largest request body that can be sent again.
const MaxBytes = 64 << 10

var errSuperseded = errors.New("a later attempt reads this body")

// Body buffers the part of a request body that was read, up to MaxBytes.
type Body struct {
	mu            sync.Mutex
	source        io.Reader
	buffered      bytes.Buffer
	sourceErr     error
	hasOverflowed bool
	current       *attempt
}

// attempt is the reader of the body for one attempt to send the request. An
// abandoned attempt may still read in the background; its reads fail once a later
// attempt has begun.
type attempt struct {
	parent *Body
	offset int
}

// New returns a Body over source.
func New(source io.Reader) *Body {
	return &Body{source: source}
}

// BodyOf returns the Body behind a reader made by Attempt, or a new Body.
func BodyOf(reader io.Reader) *Body {
	if a, ok := reader.(*attempt); ok {
		return a.parent
	}
	return New(reader)
}

// Attempt returns a reader of the body from its start. It returns false if more than
// MaxBytes were read, as the start is no longer buffered then.
func (b *Body) Attempt() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasOverflowed {
		return nil, false
	}
	b.current = &attempt{parent: b}
	return b.current, true
}

// Peek reads the body ahead until MaxBytes are buffered, and returns the buffered
// bytes, which must not be changed.
func (b *Body) Peek() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasOverflowed {
		return nil, errSuperseded
	}
	limit := int64(MaxBytes - b.buffered.Len())
	n, err := io.Copy(&b.buffered, io.LimitReader(b.source, limit))
	if err != nil {
		return nil, err
	}
	if n < limit {
		b.sourceErr = io.EOF
	}
	return b.buffered.Bytes(), nil
}

// Read implements io.Reader.
func (a *attempt) Read(p []byte) (int, error) {
	b := a.parent
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, errSuperseded
	}
	if !b.hasOverflowed && a.offset < b.buffered.Len() {
		n := copy(p, b.buffered.Bytes()[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.sourceErr != nil {
		return 0, b.sourceErr
	}
	n, err := b.source.Read(p)
	b.buffer(p[:n])
	b.sourceErr = err
	a.offset += n
	return n, err
}

func (b *Body) buffer(p []byte) {
	if b.hasOverflowed {
		return
	}
	if b.buffered.Len()+len(p) > MaxBytes {
		b.hasOverflowed = true
		b.buffered = bytes.Buffer{}
		return
	}
	b.buffered.Write(p)
}
