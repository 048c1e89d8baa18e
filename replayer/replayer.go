// Package replayer lets a request body be sent again from its start.
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

// Body keeps what was read of a request body, up to MaxBytes.
type Body struct {
	mu      sync.Mutex
	source  io.Reader
	read    bytes.Buffer
	ended   error
	lost    bool
	current *attempt
}

// attempt is the body of one attempt. An attempt that was given up may still
// read in the background; its reads fail once a later attempt began.
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

// Attempt returns the body from its start, or false if more was read than is
// kept.
func (b *Body) Attempt() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, false
	}
	b.current = &attempt{parent: b}
	return b.current, true
}

// Peek reads up to MaxBytes ahead and returns what was read. The returned
// bytes must not be changed.
func (b *Body) Peek() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, errSuperseded
	}
	limit := int64(MaxBytes - b.read.Len())
	n, err := io.Copy(&b.read, io.LimitReader(b.source, limit))
	if err != nil {
		return nil, err
	}
	if n < limit {
		b.ended = io.EOF
	}
	return b.read.Bytes(), nil
}

// Read implements io.Reader.
func (a *attempt) Read(p []byte) (int, error) {
	b := a.parent
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, errSuperseded
	}
	if !b.lost && a.offset < b.read.Len() {
		n := copy(p, b.read.Bytes()[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.source.Read(p)
	b.keep(p[:n])
	b.ended = err
	a.offset += n
	return n, err
}

func (b *Body) keep(p []byte) {
	if b.lost {
		return
	}
	if b.read.Len()+len(p) > MaxBytes {
		b.lost = true
		b.read = bytes.Buffer{}
		return
	}
	b.read.Write(p)
}
