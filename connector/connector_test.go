package connector_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/connector"
)

// servers is a fake network: connections to addresses take a while.
type servers struct {
	distance time.Duration
	fails    bool

	mu    sync.Mutex
	dials int
	ends  []net.Conn
}

func (s *servers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-time.After(s.distance):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	if s.fails {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	s.ends = append(s.ends, far)
	return near, nil
}

// count returns the number of connections that were opened or refused.
func (s *servers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// end returns the server's end of the nth connection.
func (s *servers) end(n int) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[n]
}

// fail makes the servers refuse connections.
func (s *servers) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = true
}

const address = "far:80"

// connect returns the time that a connection took.
func connect(t *testing.T, c *connector.Connector) (net.Conn, time.Duration) {
	t.Helper()
	started := time.Now()
	conn, err := c.DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	return conn, time.Since(started)
}

// echo checks that a connection carries bytes both ways.
func (s *servers) echo(t *testing.T, conn net.Conn) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.ends {
		go func() {
			defer end.Close()
			buffer := make([]byte, 1)
			if _, err := end.Read(buffer); err == nil {
				_, _ = end.Write(buffer)
			}
		}()
	}
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	buffer := make([]byte, 1)
	_, err = conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "x", string(buffer))
}

// closeAll closes the servers' ends of all connections.
func (s *servers) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.ends {
		_ = end.Close()
	}
}

// Pattern: an instance uses each of many distant servers seldom. Only the first connection
// to a server costs its caller a round trip.
func TestASpareSavesTheRoundTripOfSeldomRequestsToDistantServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: 110 * time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial})
		defer c.Close()
		_, took := connect(t, c)
		require.Equal(t, s.distance, took)
		for range 5 {
			time.Sleep(10 * time.Second)
			conn, took := connect(t, c)
			require.Zero(t, took)
			require.NoError(t, conn.Close())
		}
		time.Sleep(time.Second)
		conn, _ := connect(t, c)
		s.echo(t, conn)
		s.closeAll()
	})
}

func TestNearServersGetNoSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial})
		defer c.Close()
		connect(t, c)
		time.Sleep(time.Second)
		require.Equal(t, 1, s.count())
	})
}

// A server that is not connected to any more keeps no connection.
func TestAnUnusedSpareIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: 110 * time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial})
		defer c.Close()
		connect(t, c)
		time.Sleep(time.Minute)
		dials := s.count()
		time.Sleep(time.Minute)
		require.Equal(t, dials, s.count())
	})
}

// A spare that its server closed is never used, and such a server gets no further one for a
// while.
func TestASpareThatItsServerClosedIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: 110 * time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial})
		defer c.Close()
		connect(t, c)
		time.Sleep(time.Second)
		require.Equal(t, 2, s.count())
		require.NoError(t, s.end(1).Close())
		_, took := connect(t, c)
		require.Equal(t, s.distance, took)
		time.Sleep(time.Second)
		require.Equal(t, 3, s.count(), "no spare is opened")
	})
}

// A removed server loses its spare, also one that is being opened.
func TestKeepClosesTheSparesOfRemovedServers(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &servers{distance: 110 * time.Millisecond}
			c := connector.New(connector.Config{Dial: s.dial})
			defer c.Close()
			connect(t, c)
			time.Sleep(pause)
			c.Keep(func(string) bool { return false })
			time.Sleep(time.Second)
			_, err := s.end(1).Read(make([]byte, 1))
			require.Error(t, err, "the spare is closed")
			require.Equal(t, 2, s.count())
		})
	}
}

func TestServersWithoutRoomGetNoSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: 110 * time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial, MaySpare: func(string) bool { return false }})
		defer c.Close()
		connect(t, c)
		time.Sleep(time.Second)
		require.Equal(t, 1, s.count())
	})
}

// A server that cannot be reached is not dialled again in the background at once.
func TestAFailedSpareIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &servers{distance: 110 * time.Millisecond}
		c := connector.New(connector.Config{Dial: s.dial})
		defer c.Close()
		conn, err := c.DialContext(context.Background(), "tcp", address)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		s.fail()
		time.Sleep(8 * time.Second)
		require.Equal(t, 2, s.count())
	})
}
