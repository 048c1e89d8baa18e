package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/stager"
)

// forwardShare forwards a request of a caller with a share of the memory.
func (s *system) forwardShare(t *testing.T, share *stager.Share) *pollencrank.Answer {
	t.Helper()
	call := s.newCall("request-1", "17", "/x")
	call.Share = share
	answer, err := s.Forward(t.Context(), call)
	require.NoError(t, err)
	return answer
}

// Guards against a caller that reads slowly and takes the memory for answers from all others:
// its further answers are streamed, as it has not taken the earlier ones.
func TestACallerHoldsNoMoreThanItsShare(t *testing.T) {
	const answerBytes = 200_000
	for name, length := range map[string]int64{"known length": answerBytes, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
				a := soundAnswer(server, r)
				a.ContentLength = length
				a.Body = io.NopCloser(bytes.NewReader(make([]byte, answerBytes)))
				return a, nil
			}
			slow, other := stager.NewShare(300_000), stager.NewShare(300_000)
			first := s.forwardShare(t, slow)
			require.True(t, first.IsWhole)
			second := s.forwardShare(t, slow)
			require.False(t, second.IsWhole)
			require.True(t, second.IsOverCallerShare)
			require.True(t, s.forwardShare(t, other).IsWhole)
			body, err := io.ReadAll(second.Body)
			require.NoError(t, err)
			require.Len(t, body, answerBytes)
			require.NoError(t, second.Body.Close())
			require.NoError(t, first.Body.Close())
			require.True(t, s.forwardShare(t, slow).IsWhole)
		})
	}
}

// pacedBody takes some time for each read, and fails at the end.
type pacedBody struct {
	pause time.Duration
	reads int
	err   error
}

func (b *pacedBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	if b.reads--; b.reads < 0 {
		return 0, b.err
	}
	return len(p), nil
}

// Guards against a sound server that gets no work because a caller was slow to read: the
// server has cut off the unread answer, or the deadline has passed.
func TestASlowCallerIsNoFailureOfTheServer(t *testing.T) {
	for name, test := range map[string]struct {
		serverPause, callerPause time.Duration
		err                      error
		isFailure                bool
	}{
		"cut off, caller reads":        {time.Millisecond, time.Millisecond, io.ErrUnexpectedEOF, true},
		"cut off, caller is slow":      {time.Millisecond, 2 * time.Second, io.ErrUnexpectedEOF, false},
		"deadline, caller took longer": {time.Millisecond, 100 * time.Millisecond, context.DeadlineExceeded, false},
		"deadline, server took longer": {100 * time.Millisecond, time.Millisecond, context.DeadlineExceeded, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t)
				s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
					a := soundAnswer(server, r)
					a.ContentLength = forwarder.MaxBufferedAnswerBytes + 1
					a.Body = io.NopCloser(&pacedBody{pause: test.serverPause, reads: 5, err: test.err})
					return a, nil
				}
				answer, err := s.forwardRequest(t.Context(), "17")
				require.NoError(t, err)
				buffer := make([]byte, 1000)
				for err == nil {
					time.Sleep(test.callerPause)
					_, err = answer.Body.Read(buffer)
				}
				require.ErrorIs(t, err, test.err)
				share := s.registrar.Find(answer.Server).Health(time.Now()).FailureShare
				require.Equal(t, test.isFailure, share > 0)
			})
		})
	}
}

// Guards against an answer that is ended because its caller does not read for a while: many
// callers of one server pause for longer than they read, and each gets the whole.
func TestPausedStreamsArriveWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, reads = 60, 20
		s := newSystem(t)
		s.setServers(server("n-1", "north"))
		s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
			a := soundAnswer(server, r)
			a.ContentLength = forwarder.MaxBufferedAnswerBytes + 1
			ctx, cancel := context.WithCancel(t.Context())
			a.Body = &closableBody{Reader: &openReader{ctx: ctx, source: &pacedBody{reads: reads, err: io.EOF}}, onClose: cancel}
			return a, nil
		}
		var callers sync.WaitGroup
		for range streams {
			time.Sleep(10 * time.Millisecond)
			answer, err := s.forwardRequest(t.Context(), "17")
			require.NoError(t, err)
			callers.Go(func() {
				for range reads {
					time.Sleep(2 * time.Second)
					_, err := answer.Body.Read(make([]byte, 10))
					assert.NoError(t, err)
				}
				_, err := answer.Body.Read(make([]byte, 10))
				assert.ErrorIs(t, err, io.EOF)
				assert.NoError(t, answer.Body.Close())
			})
		}
		callers.Wait()
	})
}

// openReader reads from its source until its context ends.
type openReader struct {
	ctx    context.Context
	source io.Reader
}

func (r *openReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.source.Read(p)
}

// Guards against a caller that was slow once and excuses every later failure of the server.
func TestACallerThatWasSlowExcusesNoLaterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
			a := soundAnswer(server, r)
			a.ContentLength = forwarder.MaxBufferedAnswerBytes + 1
			a.Body = io.NopCloser(&pacedBody{reads: 5, err: io.ErrUnexpectedEOF})
			return a, nil
		}
		answer, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = io.Copy(io.Discard, answer.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Positive(t, s.registrar.Find(answer.Server).Health(time.Now()).FailureShare)
	})
}

// closableBody tells when it is closed.
type closableBody struct {
	io.Reader
	onClose func()
}

func (b *closableBody) Close() error {
	b.onClose()
	return nil
}

// Guards against a buffer of its own for each answer that is being written: the bytes that
// are held are written as they are.
func TestAHeldAnswerIsWrittenWithoutACopy(t *testing.T) {
	s := newSystem(t)
	answer, err := s.forwardRequest(t.Context(), "17")
	require.NoError(t, err)
	require.Implements(t, (*io.WriterTo)(nil), answer.Body)
	var got bytes.Buffer
	_, err = io.Copy(&got, answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", got.String())
}
