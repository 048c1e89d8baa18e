// Package expirer ends connections whose other end takes nothing of what is written.
//
// What is being written holds memory and whoever waits for it. A peer that reads slowly
// but steadily keeps its connection for as long as it likes: only the time without any
// progress is bounded, not the time of the whole. Progress is a byte that the connection
// accepts. The kernel reports a full connection as writable only once much of its queue is
// free, so writing is tried again several times within the bound.
//
// # Usage
//
//	conn := expirer.New(accepted, expirer.Config{Timeout: timeout, OnExpire: log})
//	_, err := conn.Write(answer)
package expirer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pollencrank/pollencrank/discerner"
)

const (
	// DefaultTimeout is how long a peer may take nothing if the configuration sets no
	// timeout. Retransmissions back off: after an outage of 6 s a sound link may stay quiet
	// for another 6 s.
	DefaultTimeout = 30 * time.Second
	// periods is the number of checks for progress within the timeout.
	periods = 4
)

// UnreadError reports that the other end has taken nothing for too long.
type UnreadError struct{ Timeout time.Duration }

// Error implements error.
func (e *UnreadError) Error() string {
	return fmt.Sprintf("the other end took nothing for %v", e.Timeout)
}

// Config is the configuration of a Conn.
type Config struct {
	// Timeout is how long the other end may take nothing. The default is DefaultTimeout.
	Timeout time.Duration
	// OnExpire, if set, is called when the connection has been ended.
	OnExpire func(remote net.Addr)
}

// Conn is a connection that is reset once its other end has taken nothing for the timeout.
// Writes must not be concurrent.
type Conn struct {
	net.Conn
	config Config
	// deadline is the write deadline that is set.
	deadline time.Time
}

// New returns a Conn that writes to conn.
func New(conn net.Conn, config Config) *Conn {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	return &Conn{Conn: conn, config: config}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	written, silent := 0, 0
	for {
		if err := c.renewDeadline(time.Now()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			silent = 0
			continue
		}
		// Periods are counted, not the time: while the process is frozen, nothing can be
		// taken.
		if silent++; silent >= periods {
			return written, c.expire()
		}
	}
}

// renewDeadline sets the write deadline unless one is set that is far enough.
func (c *Conn) renewDeadline(now time.Time) error {
	period := c.config.Timeout / periods
	if c.deadline.Sub(now) > period/2 {
		return nil
	}
	c.deadline = now.Add(period)
	return c.SetWriteDeadline(c.deadline)
}

// expire resets the connection: the kernel would otherwise hold what is not taken.
func (c *Conn) expire() error {
	_ = discerner.Reset(c.Conn)
	if c.config.OnExpire != nil {
		c.config.OnExpire(c.RemoteAddr())
	}
	return &UnreadError{Timeout: c.config.Timeout}
}

// Listener is a net.Listener whose connections are Conns.
type Listener struct {
	net.Listener
	Config Config
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(conn, l.Config), nil
}
