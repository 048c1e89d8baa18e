// Package discerner tells a connection that broke from one that its other end has ended in
// order.
//
// The kernel reports only once that a connection has broken, to whoever asks first. If that is
// a write, a read after it finds the end of the stream, as if the other end had ended it in
// order: what has arrived so far then looks complete to a protocol in which the end of the
// stream ends a message. A Conn returns the error of the write from that read.
//
// A broken pipe is no such report: it is a reset that came after the end of the stream.
//
// # Usage
//
//	conn := discerner.New(dialed)
//	go conn.Write(request)
//	answer, err := io.ReadAll(conn)
package discerner

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which nothing more is sent once its other end has ended its stream.
type Conn struct {
	net.Conn

	// writing is held during each write and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// New returns a Conn that reads from conn and writes to it.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. It returns io.EOF only if the other end has ended its stream in
// order. At the end of the stream a write that is in progress fails.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := c.breakage(); broken != nil {
		return n, broken
	}
	return n, err
}

// breakage returns the error of a write that was told that the connection has broken, or nil. A
// write that is in progress may have been told and is ended.
func (c *Conn) breakage() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if provesNothing(c.writeErr) {
		return nil
	}
	return c.writeErr
}

// provesNothing reports whether the other end may have ended its stream in order although a write
// failed with err: it reset the connection after that, or the write was ended by this process.
func provesNothing(err error) bool {
	return err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// CloseWrite ends the own stream, as that of net.TCPConn.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SetLinger sets what Close does with data that is not sent yet, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return lingerer.SetLinger(seconds)
}

// Reset closes a connection so that its other end can tell it from one that has been ended in
// order. What is not sent yet is lost.
func Reset(conn net.Conn) error {
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	return conn.Close()
}
