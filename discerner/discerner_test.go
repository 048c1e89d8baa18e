package discerner_test

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/discerner"
)

// toldConn is a connection whose writes are told how it ended. They return once a read has
// found the end of the stream and the write deadline has passed.
type toldConn struct {
	net.Conn
	cause         error
	told, expired chan struct{}
	expire        func()
}

func newToldConn(cause error) *toldConn {
	c := &toldConn{cause: &net.OpError{Op: "write", Err: cause}, told: make(chan struct{}), expired: make(chan struct{})}
	c.expire = sync.OnceFunc(func() { close(c.expired) })
	return c
}

// Write implements net.Conn.
func (c *toldConn) Write([]byte) (int, error) {
	close(c.told)
	<-c.expired
	return 0, c.cause
}

// Read implements net.Conn.
func (c *toldConn) Read([]byte) (int, error) {
	<-c.told
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn.
func (c *toldConn) SetWriteDeadline(time.Time) error {
	c.expire()
	return nil
}

// Guards against an end of the stream that is passed on before the write that was told of the
// reset has returned, and against one that is not because a write failed for another reason.
func TestAnEndIsJudgedByTheWriteInProgress(t *testing.T) {
	for cause, isInOrder := range map[error]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false,
		syscall.EPIPE: true, os.ErrDeadlineExceeded: true, net.ErrClosed: true,
	} {
		t.Run(cause.Error(), func(t *testing.T) {
			conn := discerner.New(newToldConn(cause))
			var writing sync.WaitGroup
			writing.Go(func() { _, _ = conn.Write([]byte("upload")) })
			_, err := conn.Read(make([]byte, 1))
			writing.Wait()
			if isInOrder {
				require.Equal(t, io.EOF, err)
				return
			}
			require.ErrorIs(t, err, cause)
			_, err = conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, cause, "a connection stays broken")
		})
	}
}

// Guards against an error that is forgotten because a later write failed with a broken pipe.
func TestTheFirstErrorOfAWriteCounts(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.Close())
	failing := &failingConn{Conn: near, errs: []error{syscall.ECONNRESET, syscall.EPIPE}}
	conn := discerner.New(failing)
	for range len(failing.errs) {
		_, err := conn.Write([]byte("upload"))
		require.Error(t, err)
	}
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// failingConn is a connection whose writes fail with the given errors, one after the other.
type failingConn struct {
	net.Conn
	errs   []error
	writes int
}

// Write implements net.Conn.
func (c *failingConn) Write([]byte) (int, error) {
	c.writes++
	return 0, c.errs[c.writes-1]
}
