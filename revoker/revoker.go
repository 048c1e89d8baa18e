// Package revoker lends a reader and takes it back.
//
// The body of a request is read by whoever sends it on, often in the background until
// long after the answer has arrived. Once the request is answered, the body belongs to
// the connection that it came on, which discards the rest. A Reader makes sure that
// nobody else reads from it then.
//
// # Usage
//
//	body := revoker.New(revoker.Config{Source: request.Body, SetReadDeadline: controller.SetReadDeadline})
//	answer, err := send(body)
//	body.Revoke()
//	discard(request.Body)
package revoker

import (
	"errors"
	"io"
	"sync"
	"time"
)

// revokeTimeout is how long a read that is under way may take when the Reader is
// revoked, if it can be interrupted.
const revokeTimeout = 100 * time.Millisecond

// RevokedError is returned by a Reader that has been revoked.
type RevokedError struct{}

// Error implements error.
func (*RevokedError) Error() string { return "the body has been taken back" }

// Config is the configuration of a Reader.
type Config struct {
	Source io.Reader
	// SetReadDeadline sets the deadline of reads from Source. If it is nil or fails, a
	// read that is under way cannot be interrupted.
	SetReadDeadline func(time.Time) error
	// NextDeadline, if set, returns the deadline of the next read.
	NextDeadline func() time.Time
}

// Reader reads from its source until it is revoked. It is safe for concurrent use. A nil
// Reader stands for an empty source: it has ended, and Revoke does nothing.
type Reader struct {
	config Config
	// reading holds an element during a read from the source.
	reading chan struct{}

	mu        sync.Mutex
	isRevoked bool
	hasEnded  bool
}

// New returns a Reader.
func New(config Config) *Reader {
	if config.SetReadDeadline == nil {
		config.SetReadDeadline = func(time.Time) error { return nil }
	}
	return &Reader{config: config, reading: make(chan struct{}, 1)}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	r.reading <- struct{}{}
	defer func() { <-r.reading }()
	if err := r.begin(); err != nil {
		return 0, err
	}
	n, err := r.config.Source.Read(p)
	if errors.Is(err, io.EOF) {
		r.end()
	}
	return n, err
}

// begin sets the deadline of a read.
func (r *Reader) begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRevoked {
		return &RevokedError{}
	}
	if r.config.NextDeadline == nil || r.hasEnded {
		return nil
	}
	return r.config.SetReadDeadline(r.config.NextDeadline())
}

func (r *Reader) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasEnded = true
}

// HasEnded reports whether the end of the source was reached.
func (r *Reader) HasEnded() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasEnded
}

// Revoke takes the source back. Once it has returned, nothing reads from the source.
func (r *Reader) Revoke() {
	if r == nil {
		return
	}
	r.interrupt()
	r.reading <- struct{}{}
	<-r.reading
}

// interrupt makes further reads fail, and bounds one that is under way.
func (r *Reader) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRevoked || r.hasEnded {
		return
	}
	r.isRevoked = true
	_ = r.config.SetReadDeadline(time.Now().Add(revokeTimeout))
}
