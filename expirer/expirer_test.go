package expirer_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/expirer"
)

const timeout = 8 * time.Second

// Guards against a peer that reads nothing and holds what is written for it for ever.
func TestAPeerThatTakesNothingIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		expired := 0
		c := expirer.New(near, expirer.Config{Timeout: timeout, OnExpire: func(net.Addr) { expired++ }})
		started := time.Now()
		_, err := c.Write(make([]byte, 100))
		var unread *expirer.UnreadError
		require.ErrorAs(t, err, &unread)
		require.InDelta(t, timeout.Seconds(), time.Since(started).Seconds(), timeout.Seconds()/4)
		require.Equal(t, 1, expired)
		_, err = far.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a bound on the time of the whole: a peer that reads slowly but steadily gets
// everything, however long that takes, and so does one that pauses for less than the timeout.
func TestAPeerThatReadsSteadilyIsKept(t *testing.T) {
	for name, pause := range map[string]time.Duration{"slow": time.Second, "with pauses": timeout * 3 / 4} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				c := expirer.New(near, expirer.Config{Timeout: timeout})
				written := make(chan error, 1)
				go func() {
					_, err := c.Write(make([]byte, 20))
					if err == nil {
						_, err = c.Write(make([]byte, 20))
					}
					written <- err
				}()
				for range 40 {
					time.Sleep(pause)
					_, err := far.Read(make([]byte, 1))
					require.NoError(t, err)
				}
				require.NoError(t, <-written)
			})
		})
	}
}

// Guards against a slow caller that is ended although it takes bytes: the kernel reports a
// full connection as writable only once a third of its queue is free.
func TestACallerThatTakesLittleOfALongQueueIsKept(t *testing.T) {
	const total, queueBytes, slowBytes, pieceBytes = 3 << 20, 1 << 20, 128 << 10, 2 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2*pieceBytes)
		})
	}}
	far, err := dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer far.Close()
	near, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, near.(*net.TCPConn).SetWriteBuffer(queueBytes))
	c := expirer.New(near, expirer.Config{Timeout: 250 * time.Millisecond})
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, total))
		written <- err
	}()
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	for taken := 0; taken < slowBytes; {
		<-ticker.C
		n, err := far.Read(make([]byte, pieceBytes))
		require.NoError(t, err)
		taken += n
	}
	go func() { _, _ = io.Copy(io.Discard, far) }()
	require.NoError(t, <-written)
}

// Guards against a caller that is ended behind a short partition: retransmissions back off, so
// that a link which is gone for 6 s may be quiet for twice as long.
func TestALinkThatIsQuietAfterAPartitionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		written := make(chan error, 1)
		go func() {
			_, err := expirer.New(near, expirer.Config{}).Write(make([]byte, 20))
			written <- err
		}()
		time.Sleep(20 * time.Second)
		_, err := io.ReadFull(far, make([]byte, 20))
		require.NoError(t, err)
		require.NoError(t, <-written)
	})
}
