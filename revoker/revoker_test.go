package revoker_test

import (
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/revoker"
)

// slowSource gives one byte a second. SetReadDeadline interrupts it.
type slowSource struct {
	deadline  atomic.Pointer[time.Time]
	reads     int
	isReading atomic.Bool
}

var errTimeout = errors.New("timeout")

func (s *slowSource) setReadDeadline(deadline time.Time) error {
	s.deadline.Store(&deadline)
	return nil
}

func (s *slowSource) Read(p []byte) (int, error) {
	s.reads++
	s.isReading.Store(true)
	defer s.isReading.Store(false)
	next := time.Now().Add(time.Second)
	for time.Now().Before(next) {
		if deadline := s.deadline.Load(); deadline != nil && !time.Now().Before(*deadline) {
			return 0, errTimeout
		}
		time.Sleep(10 * time.Millisecond)
	}
	p[0] = 'x'
	return 1, nil
}

// Guards against two readers of one body: after Revoke nothing reads from the source, and a
// read that is under way is waited for.
func TestRevokeEndsAllReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{}
		r := revoker.New(revoker.Config{Source: source, SetReadDeadline: source.setReadDeadline})
		ended := make(chan error, 1)
		go func() {
			_, err := r.Read(make([]byte, 8))
			ended <- err
		}()
		synctest.Wait()
		r.Revoke()
		require.False(t, source.isReading.Load(), "the read under way has ended")
		require.Equal(t, 1, source.reads)
		require.ErrorIs(t, <-ended, errTimeout, "a read under way is interrupted")
		_, err := r.Read(make([]byte, 8))
		var revoked *revoker.RevokedError
		require.ErrorAs(t, err, &revoked)
		require.Equal(t, 1, source.reads)
	})
}

// Guards against bytes that a read under way has taken from the source and nobody gets.
func TestARevokedReadKeepsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{}
		r := revoker.New(revoker.Config{Source: source})
		read := make(chan int, 1)
		go func() {
			n, _ := r.Read(make([]byte, 8))
			read <- n
		}()
		synctest.Wait()
		r.Revoke()
		require.Equal(t, 1, <-read)
	})
}

// Guards against a deadline on a connection whose next bytes belong to another request.
func TestRevokeLeavesABodyThatHasEndedAlone(t *testing.T) {
	deadlines := 0
	r := revoker.New(revoker.Config{
		Source:          strings.NewReader("abc"),
		SetReadDeadline: func(time.Time) error { deadlines++; return nil },
		NextDeadline:    time.Now,
	})
	require.False(t, r.HasEnded())
	body, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "abc", string(body))
	require.True(t, r.HasEnded())
	set := deadlines
	r.Revoke()
	_, err = r.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, set, deadlines)
}
