// Package stager buffers the bodies of requests and answers before they are forwarded.
//
// A request whose body is buffered occupies no slot of a backend server while its
// caller sends the body, and it can be retried on a second server. An answer that is
// buffered as a whole is known to be complete. The memory is bounded for each body
// and for the whole process: the rest of a body that exceeds the bound for one body
// is streamed, and a body for which no memory is left at all is refused before any of
// it is read. Short bodies have a separate memory budget, so that large ones do not
// starve them. A Share bounds what one caller takes of the memory, so that one that reads
// its answers slowly does not keep it from others.
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
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// DefaultPerBody is the number of bytes of one body that are buffered.
	DefaultPerBody = 512 << 10
	// DefaultTotal is the number of bytes of all large bodies together that are buffered.
	DefaultTotal = 24 << 20
	// DefaultShortTotal is the number of bytes of all short bodies together that are
	// buffered.
	DefaultShortTotal = 16 << 20
	// shortBytes is the length up to which a body counts as short.
	shortBytes = 16 << 10
	// growStep is the size of the first buffer of a body of unknown length.
	growStep = 32 << 10
)

// FullError reports that no memory is left for a body.
type FullError struct {
	// Reserved and Total are in bytes.
	Reserved, Total int64
	// IsShare is set if only the caller's Share is used up.
	IsShare bool
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d of %d bytes for bodies are in use", e.Reserved, e.Total)
}

// Config is the configuration of a Stager. Zero values take the defaults.
type Config struct {
	// PerBody is the number of bytes of one body that are buffered.
	PerBody int64
	// Total and ShortTotal are the number of bytes of all large and of all short bodies
	// together that are buffered.
	Total, ShortTotal int64
}

// Stager buffers bodies. It is safe for concurrent use.
type Stager struct {
	maxPerBody   int64
	short, large budget
}

// budget is a bounded amount of memory.
type budget struct {
	total    int64
	reserved atomic.Int64
}

func (b *budget) reserve(n int64) error {
	if reserved := b.reserved.Add(n); reserved > b.total {
		b.reserved.Add(-n)
		return &FullError{Reserved: reserved - n, Total: b.total}
	}
	return nil
}

// Share is the part of the memory that the bodies of one caller may take. A nil Share sets
// no bound. It is safe for concurrent use.
type Share struct {
	budget budget
	// streams are the answers that are streamed because the share is spent.
	streams atomic.Int64
}

// NewShare returns a Share of the given number of bytes.
func NewShare(total int64) *Share { return &Share{budget: budget{total: total}} }

func (s *Share) reserve(n int64) error {
	if s == nil {
		return nil
	}
	if err := s.budget.reserve(n); err != nil {
		return &FullError{Reserved: s.budget.reserved.Load(), Total: s.budget.total, IsShare: true}
	}
	return nil
}

func (s *Share) release(n int64) {
	if s != nil {
		s.budget.reserved.Add(-n)
	}
}

// BeginStream records that an answer is streamed because the share is spent. The returned
// function records its end.
func (s *Share) BeginStream() (end func()) {
	if s == nil {
		return func() {}
	}
	s.streams.Add(1)
	return func() { s.streams.Add(-1) }
}

// IsStreaming reports whether answers are streamed because the share is spent.
func (s *Share) IsStreaming() bool { return s != nil && s.streams.Load() > 0 }

type shareKey struct{}

// WithShare returns a context that carries the Share of a caller.
func WithShare(ctx context.Context, share *Share) context.Context {
	return context.WithValue(ctx, shareKey{}, share)
}

// ShareOf returns the Share that a context carries, or nil.
func ShareOf(ctx context.Context) *Share {
	share, _ := ctx.Value(shareKey{}).(*Share)
	return share
}

// New returns a Stager.
func New(config Config) *Stager {
	if config.PerBody <= 0 {
		config.PerBody = DefaultPerBody
	}
	if config.Total <= 0 {
		config.Total = DefaultTotal
	}
	if config.ShortTotal <= 0 {
		config.ShortTotal = DefaultShortTotal
	}
	return &Stager{
		maxPerBody: config.PerBody,
		short:      budget{total: config.ShortTotal},
		large:      budget{total: config.Total},
	}
}

// Reserved returns the number of bytes that are buffered or reserved for buffering.
func (s *Stager) Reserved() int64 { return s.short.reserved.Load() + s.large.reserved.Load() }

// Body is a body of which at least the beginning is buffered.
type Body struct {
	data []byte
	// rest is the part that follows data, or nil if data is the whole body.
	rest     io.Reader
	budget   *budget
	share    *Share
	reserved int64
	// isShareSpent is set if the rest is not buffered for want of the caller's Share.
	isShareSpent bool
}

// Stage buffers a body up to its end or the bound for one body. A negative length
// means that the length is unknown. Stage returns a FullError if no memory is left,
// without having read from the body, and the read error if the body breaks off.
func (s *Stager) Stage(body io.Reader, length int64) (*Body, error) {
	return s.StageWithin(nil, body, length)
}

// StageWithin is Stage with memory that also counts for the Share of a caller.
func (s *Stager) StageWithin(share *Share, body io.Reader, length int64) (*Body, error) {
	b := &Body{budget: &s.large, share: share}
	if length >= 0 && length <= shortBytes {
		b.budget = &s.short
	}
	if err := s.fill(b, body, length); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// fill reads a body piece by piece, and reserves memory before it reads each piece.
func (s *Stager) fill(b *Body, body io.Reader, length int64) error {
	size := min(growStep, s.maxPerBody)
	if length >= 0 {
		size = min(length, s.maxPerBody)
	}
	for {
		err := b.grow(size)
		if err != nil && len(b.data) > 0 {
			b.rest = body
			b.isShareSpent = isShareSpent(err)
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
		if b.reserved >= s.maxPerBody {
			b.rest = body
			return nil
		}
		size = min(b.reserved, s.maxPerBody-b.reserved)
	}
}

// grow reserves memory for n more bytes and enlarges the buffer.
func (b *Body) grow(n int64) error {
	if err := b.share.reserve(n); err != nil {
		return err
	}
	if err := b.budget.reserve(n); err != nil {
		b.share.release(n)
		return err
	}
	b.reserved += n
	data := make([]byte, len(b.data), b.reserved)
	copy(data, b.data)
	b.data = data
	return nil
}

func isShareSpent(err error) bool {
	var full *FullError
	return errors.As(err, &full) && full.IsShare
}

// read fills the buffer up to its capacity. It returns io.EOF at the end of the body.
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

// Bytes returns the buffered bytes and reports whether they are the whole body.
func (b *Body) Bytes() ([]byte, bool) { return b.data, b.rest == nil }

// IsShareSpent reports whether the body is not buffered as a whole because the Share of its
// caller was used up.
func (b *Body) IsShareSpent() bool { return b.isShareSpent }

// Reader returns a reader of the body from its beginning. A body that is not buffered
// as a whole can be read only once.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.data)
	}
	return io.MultiReader(bytes.NewReader(b.data), b.rest)
}

// Release releases the reserved memory. The body must not be used afterwards.
func (b *Body) Release() {
	b.budget.reserved.Add(-b.reserved)
	b.share.release(b.reserved)
	b.reserved = 0
	b.data = nil
}
