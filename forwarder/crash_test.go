package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
)

// brokenBody is the body of an answer that ends with an error after some bytes.
type brokenBody struct {
	io.Reader
	err error
}

func newBrokenBody(bytesBefore int, err error) *brokenBody {
	return &brokenBody{Reader: bytes.NewReader(make([]byte, bytesBefore)), err: err}
}

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

// Close implements io.Closer.
func (b *brokenBody) Close() error { return nil }

// Lengths of answers that are held until they are whole, and that are passed on as they arrive.
const (
	heldBytes     = 90_000
	streamedBytes = forwarder.MaxBufferedAnswerBytes + 1000
)

// breaksOff returns a reply whose body ends with an error after a part of its length, or with
// io.EOF after all of it. A length of -1 is not told, and the answer is then longer than one
// that is held.
func breaksOff(length int64, err error) func(string, int, *pollencrank.Request) (*pollencrank.Answer, error) {
	return func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
		sent := int(length)
		switch {
		case length < 0:
			sent = streamedBytes
		case !errors.Is(err, io.EOF):
			sent /= 2
		}
		a := soundAnswer(server, r)
		a.ContentLength = length
		a.Body = newBrokenBody(sent, err)
		return a, nil
	}
}

// read reads an answer as its caller does, and returns how it ended.
func read(answer *pollencrank.Answer, err error) error {
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func isRefusedForCrashes(err error) bool {
	var refused *pollencrank.NotRunError
	return errors.As(err, &refused) && refused.Reason == pollencrank.ReasonCrashesServers
}

// Guards against a request that crashes servers while they answer it, and that is never held
// back: only servers that crashed before their answer were looked at.
func TestARequestThatCrashesServersInTheirAnswersIsRefused(t *testing.T) {
	for name, length := range map[string]int64{"held": heldBytes, "passed on": streamedBytes, "passed on, of unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.route.MaxAttempts = 1
			s.serversCrash.Store(true)
			s.sender.reply = breaksOff(length, syscall.ECONNRESET)
			for range 2 {
				require.Error(t, read(s.forwardRequest(t.Context(), "17")))
				s.Wait()
			}
			require.True(t, isRefusedForCrashes(read(s.forwardRequest(t.Context(), "17"))))
			require.Len(t, s.sender.sent, 2)
			require.Len(t, s.broadcasts, 2)
		})
	}
}

// Guards against a strike that is taken away by the head of an answer that breaks off after it.
func TestTheHeadOfAnAnswerClearsNoSuspicion(t *testing.T) {
	s := newSystem(t)
	s.route.MaxAttempts = 1
	s.serversCrash.Store(true)
	s.sender.reply = func(server string, n int, r *pollencrank.Request) (*pollencrank.Answer, error) {
		if n == 1 {
			return nil, connectionLost(server)
		}
		return breaksOff(streamedBytes, syscall.ECONNRESET)(server, n, r)
	}
	for range 2 {
		require.Error(t, read(s.forwardRequest(t.Context(), "17")))
		s.Wait()
	}
	require.True(t, isRefusedForCrashes(read(s.forwardRequest(t.Context(), "17"))))
}

// Guards against a request that stays suspected although a server has answered it to its end.
func TestAWholeAnswerThatIsPassedOnClearsSuspicion(t *testing.T) {
	s := newSystem(t)
	s.route.MaxAttempts = 1
	s.serversCrash.Store(true)
	s.sender.reply = func(server string, n int, r *pollencrank.Request) (*pollencrank.Answer, error) {
		if n%2 == 1 {
			return breaksOff(streamedBytes, syscall.ECONNRESET)(server, n, r)
		}
		return breaksOff(streamedBytes, io.EOF)(server, n, r)
	}
	for range 2 {
		require.Error(t, read(s.forwardRequest(t.Context(), "17")))
		s.Wait()
		require.NoError(t, read(s.forwardRequest(t.Context(), "17")))
	}
}

// Guards against a block of requests whose answers break off for another reason than a crash.
func TestAnAnswerThatBreaksOffWithoutACrashIsNoStrike(t *testing.T) {
	for name, test := range map[string]struct {
		length       int64
		err          error
		serversCrash bool
	}{
		"the server lives, held":          {heldBytes, syscall.ECONNRESET, false},
		"the server lives, passed on":     {streamedBytes, syscall.ECONNRESET, false},
		"the deadline passes, held":       {heldBytes, context.DeadlineExceeded, true},
		"the deadline passes, passed on":  {streamedBytes, context.DeadlineExceeded, true},
		"the answer is whole, held":       {heldBytes, io.EOF, true},
		"the answer is whole, and longer": {streamedBytes, io.EOF, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.route.MaxAttempts = 1
			s.serversCrash.Store(test.serversCrash)
			s.sender.reply = breaksOff(test.length, test.err)
			for range 5 {
				err := read(s.forwardRequest(t.Context(), "17"))
				require.False(t, isRefusedForCrashes(err))
				s.Wait()
			}
			require.Empty(t, s.broadcasts)
		})
	}
}

// Guards against a strike for a caller that leaves in the middle of an answer.
func TestACallerThatLeavesInAnAnswerIsNoCrash(t *testing.T) {
	s := newSystem(t)
	s.serversCrash.Store(true)
	s.sender.reply = breaksOff(streamedBytes, context.Canceled)
	ctx, leave := context.WithCancel(t.Context())
	answer, err := s.forwardRequest(ctx, "17")
	require.NoError(t, err)
	leave()
	require.Error(t, read(answer, nil))
	s.Wait()
	require.Empty(t, s.broadcasts)
}

// Guards against a crash that is missed because the caller was slow to read before it.
func TestACrashUnderASlowCallerIsAStrike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.serversCrash.Store(true)
		s.callerTimeout = time.Minute
		s.sender.reply = breaksOff(streamedBytes, syscall.ECONNRESET)
		answer, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Error(t, read(answer, nil))
		s.Wait()
		require.Len(t, s.broadcasts, 1)
	})
}

// Guards against two suspects on one server, one of which still sends its answer: the next
// crash would not tell which of them caused it.
func TestASuspectHoldsItsServerToTheEndOfItsAnswer(t *testing.T) {
	s := newSystem(t)
	s.route.MaxAttempts = 1
	s.serversCrash.Store(true)
	s.setServers(server("n-1", "north"))
	isSuspected := false
	s.sender.reply = func(server string, n int, r *pollencrank.Request) (*pollencrank.Answer, error) {
		if !isSuspected {
			return nil, connectionLost(server)
		}
		return breaksOff(streamedBytes, io.EOF)(server, n, r)
	}
	for _, uri := range []string{"/a", "/b"} {
		require.Error(t, read(s.forwardURI(t.Context(), uri)))
		s.Wait()
		s.setServers()
		s.setServers(server("n-1", "north"))
	}
	isSuspected = true
	first, err := s.forwardURI(t.Context(), "/a")
	require.NoError(t, err)
	_, err = s.forwardURI(t.Context(), "/b")
	require.True(t, pollencrank.IsNotRun(err))
	require.NoError(t, read(first, nil))
	require.NoError(t, read(s.forwardURI(t.Context(), "/b")))
}

// Guards against a sound request that other instances go on suspecting, and block at the next
// crash beside it, although a server has answered it here.
func TestOthersAreToldThatASuspectWasAnswered(t *testing.T) {
	s := newSystem(t)
	s.route.MaxAttempts = 1
	s.serversCrash.Store(true)
	s.sender.reply = func(server string, n int, r *pollencrank.Request) (*pollencrank.Answer, error) {
		switch n {
		case 1:
			return nil, connectionLost(server)
		case 2:
			a := soundAnswer(server, r)
			a.Status = http.StatusInternalServerError
			return a, nil
		}
		return soundAnswer(server, r), nil
	}
	require.Error(t, read(s.forwardRequest(t.Context(), "17")))
	s.Wait()
	require.Equal(t, 1, (<-s.broadcasts).Crashes)
	require.NoError(t, read(s.forwardRequest(t.Context(), "17")))
	require.Empty(t, s.broadcasts, "a failure of the server proves nothing")
	for range 3 {
		require.NoError(t, read(s.forwardRequest(t.Context(), "17")))
	}
	require.Len(t, s.broadcasts, 1)
	require.Zero(t, (<-s.broadcasts).Crashes)
}
