// Package stager takes in bodies of requests and answers before they are passed
// on.
//
// The body of a request that was read in advance occupies no slot of a backend
// server while its caller sends it, and it can be sent to a second server. An
// answer that was read in advance is known to be whole. What is held is bounded
// for each body and for the whole process: a body that is longer than the first
// bound is passed on as it arrives, and one for which there is no room at all is
// refused before it is read. Short bodies have room of their own, so that large
// ones do not crowd them out.
//
// # Usage
//
//	s := stager.New(stager.Config{})
//	body, err := s.Stage(request.Body, request.ContentLength)
//	if err != nil {
//		return err
//	}
//	defer body.Release()
package stager

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// DefaultPerBody is how much of one body is held.
	DefaultPerBody = 512 << 10
	// DefaultTotal is how much of all large bodies together is held.
	DefaultTotal = 24 << 20
	// shortBytes is the length up to which a body counts as short, shortTotal
	// what is held of all short ones together.
	shortBytes = 16 << 10
	shortTotal = 16 << 20
	// step is how much room a body of unknown length takes at a time.
	step = 32 << 10
)

// FullError says that there is no room for a body now.
type FullError struct {
	// Reserved and Total are in bytes.
	Reserved, Total int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d of %d bytes for bodies are in use", e.Reserved, e.Total)
}

// Config is the configuration of a Stager. Zero values take the defaults.
type Config struct {
	// PerBody is how many bytes of one body are held.
	PerBody int64
	// Total is how many bytes of all large bodies are held.
	Total int64
}

// Stager holds bodies. It is safe for concurrent use.
type Stager struct {
	perBody      int64
	short, large room
}

// room is memory with a bound.
type room struct {
	total int64
	held  atomic.Int64
}

func (r *room) take(n int64) error {
	if held := r.held.Add(n); held > r.total {
		r.held.Add(-n)
		return &FullError{Reserved: held - n, Total: r.total}
	}
	return nil
}

// New returns a Stager.
func New(config Config) *Stager {
	if config.PerBody <= 0 {
		config.PerBody = DefaultPerBody
	}
	if config.Total <= 0 {
		config.Total = DefaultTotal
	}
	return &Stager{
		perBody: config.PerBody,
		short:   room{total: shortTotal},
		large:   room{total: config.Total},
	}
}

// Reserved returns the number of bytes that are held or promised.
func (s *Stager) Reserved() int64 { return s.short.held.Load() + s.large.held.Load() }

// Body is a body of which at least the beginning was read.
type Body struct {
	data []byte
	// rest is what follows data, or nil if data is everything.
	rest io.Reader
	room *room
	held int64
}

// Stage reads a body until its end or the bound for one request. A negative
// length means that it is not known. It returns a FullError if there is no room,
// with nothing of the body read, and the error of body if that breaks off.
func (s *Stager) Stage(body io.Reader, length int64) (*Body, error) {
	b := &Body{room: &s.large}
	if length >= 0 && length <= shortBytes {
		b.room = &s.short
	}
	if err := s.fill(b, body, length); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// fill reads a body step by step, each after room for it was taken.
func (s *Stager) fill(b *Body, body io.Reader, length int64) error {
	size := min(step, s.perBody)
	if length >= 0 {
		size = min(length, s.perBody)
	}
	for {
		err := b.grow(size)
		if err != nil && len(b.data) > 0 {
			b.rest = body
			return nil
		}
		if err != nil {
			return err
		}
		err = b.read(body)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if int64(len(b.data)) == length {
			return nil
		}
		if b.held >= s.perBody {
			b.rest = body
			return nil
		}
		size = min(b.held, s.perBody-b.held)
	}
}

// grow takes room for n more bytes.
func (b *Body) grow(n int64) error {
	if err := b.room.take(n); err != nil {
		return err
	}
	b.held += n
	data := make([]byte, len(b.data), b.held)
	copy(data, b.data)
	b.data = data
	return nil
}

// read fills the room that was taken. It returns io.EOF at the end of the body.
func (b *Body) read(body io.Reader) error {
	for len(b.data) < cap(b.data) {
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the whole body. It reports false if only the beginning is held.
func (b *Body) Bytes() ([]byte, bool) { return b.data, b.rest == nil }

// Reader returns the body from its beginning. If it is not held as a whole, it can
// be read only once.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.data)
	}
	return io.MultiReader(bytes.NewReader(b.data), b.rest)
}

// Release gives the room back. The body must not be used any more.
func (b *Body) Release() {
	b.room.held.Add(-b.held)
	b.held = 0
	b.data = nil
}
