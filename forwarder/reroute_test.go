package forwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
)

// peer is a fake of the other instances.
type peer struct {
	isCutOff   bool
	isDoubtful bool
	requests   []rerouter.Request
	failures   int
	err        error
}

func (p *peer) IsCutOff(string) bool                     { return p.isCutOff }
func (p *peer) IsDoubtful(string) bool                   { return p.isDoubtful }
func (p *peer) ObserveAnswer(string)                     {}
func (p *peer) ObserveFailure(string, string, time.Time) { p.failures++ }
func (p *peer) Send(_ context.Context, request rerouter.Request) (*pollencrank.Answer, error) {
	p.requests = append(p.requests, request)
	if p.err != nil {
		return nil, p.err
	}
	return soundAnswer("through-peer", request.Request), nil
}

func unreached(string, int, *pollencrank.Request) (*pollencrank.Answer, error) {
	return nil, pollencrank.NotRun(pollencrank.ReasonServerUnreachable, "refused")
}

// newReroutingSystem returns a system with other instances.
func newReroutingSystem(t *testing.T) (*system, *peer) {
	t.Helper()
	p := &peer{}
	now := time.Now()
	m := newMembership(0, 1, now.Add(-time.Minute), now)
	return newInstanceWith(t, m, fleetRetries, nil, p), p
}

func TestRequestsOfAnInstanceThatIsCutOffAskNoServer(t *testing.T) {
	s, p := newReroutingSystem(t)
	p.isCutOff = true
	call := s.newCall("request-1", "17", "/x")
	answer, err := s.Forward(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, "through-peer", answer.Server)
	require.Equal(t, "through-peer", call.Course.Through)
	require.Empty(t, s.sender.sent)
	require.Equal(t, 2, p.requests[0].Hop.MaxAttempts)
	require.False(t, p.requests[0].Hop.IsCounted, "the other instance counts the request")
}

func TestARequestThatMeetsNoConnectionGoesThroughAnotherInstance(t *testing.T) {
	for _, kind := range []router.Kind{router.Idempotent, router.NonIdempotent} {
		s, p := newReroutingSystem(t)
		s.route.Kind = kind
		s.sender.reply = unreached
		_, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
		require.Len(t, s.sender.sent, 2)
		require.Len(t, p.requests, 1)
		hop := p.requests[0].Hop
		require.Equal(t, 2, hop.MaxAttempts, "no server has seen the request")
		require.True(t, hop.IsCounted)
		require.Contains(t, s.log.String(), "through another instance", "each decision on the request is logged")
	}
}

// A server that never got a request has not seen a repeat.
func TestAttemptsWithoutAConnectionSpendNoRetryBudget(t *testing.T) {
	now := time.Now()
	s := newInstance(t, newMembership(0, 1, now.Add(-time.Minute), now), limiter.WindowConfig{Window: 10 * time.Second}, nil)
	s.sender.reply = func(server string, n int, request *pollencrank.Request) (*pollencrank.Answer, error) {
		if n == 1 {
			return unreached(server, n, request)
		}
		return soundAnswer(server, request), nil
	}
	_, err := s.forwardRequest(t.Context(), "17")
	require.NoError(t, err)
	require.Len(t, s.sender.sent, 2)
}

// A rerouted request counts once for the budgets of the whole fleet.
func TestARequestCountsOnceForTheRetryBudget(t *testing.T) {
	for isCounted, sends := range map[bool]int{false: 2, true: 1} {
		now := time.Now()
		s := newInstance(t, newMembership(0, 1, now.Add(-time.Minute), now), limiter.WindowConfig{Share: 2, Window: 10 * time.Second}, nil)
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			return nil, connectionLost(server)
		}
		_, err := s.forwardHop(t.Context(), &rerouter.Hop{MaxAttempts: 2, IsCounted: isCounted})
		require.Error(t, err)
		require.Len(t, s.sender.sent, sends)
	}
}

// At most once: a request that may have run is not sent through another instance unless it
// may be repeated, and then it costs a repeat.
func TestWhatMayHaveRunIsReroutedOnlyIfItMayBeRepeated(t *testing.T) {
	for kind, sends := range map[router.Kind]int{router.Idempotent: 1, router.NonIdempotent: 0} {
		s, p := newReroutingSystem(t)
		s.route.Kind = kind
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			p.isCutOff = true
			return nil, connectionLost(server)
		}
		_, err := s.forwardRequest(t.Context(), "17")
		require.Len(t, p.requests, sends)
		if sends == 0 {
			require.False(t, pollencrank.IsNotRun(err))
			continue
		}
		require.NoError(t, err)
		require.Equal(t, 1, p.requests[0].Hop.MaxAttempts, "one of two attempts is used up")
	}
}

func TestAReroutedRequestWithAnUnknownOutcomeIsSentOnceIfItMayNotBeRepeated(t *testing.T) {
	for kind, sends := range map[router.Kind]int{router.Idempotent: 2, router.NonIdempotent: 1} {
		s, p := newReroutingSystem(t)
		s.route.Kind = kind
		p.isCutOff = true
		p.err = pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "lost")
		_, err := s.forwardRequest(t.Context(), "17")
		require.Error(t, err)
		require.False(t, pollencrank.IsNotRun(err))
		require.Len(t, p.requests, sends)
	}
}

// No loop: the request of another instance is refused at once if this one is cut off too.
func TestARequestIsReroutedOnce(t *testing.T) {
	for name, isCutOff := range map[string]bool{"cut off": true, "no connection": false} {
		s, p := newReroutingSystem(t)
		p.isCutOff = isCutOff
		s.sender.reply = unreached
		_, err := s.forwardHop(t.Context(), &rerouter.Hop{MaxAttempts: 2})
		require.True(t, pollencrank.IsNotRun(err), name)
		require.ErrorContains(t, err, string(pollencrank.ReasonCutOff), "the first instance may ask a third one")
		require.Empty(t, p.requests, name)
	}
}

func TestAReroutedRequestKeepsTheAttemptsThatAreLeft(t *testing.T) {
	s, _ := newReroutingSystem(t)
	s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
		return nil, connectionLost(server)
	}
	_, err := s.forwardHop(t.Context(), &rerouter.Hop{MaxAttempts: 1})
	require.Error(t, err)
	require.Len(t, s.sender.sent, 1)
}

// Refusals for other reasons than lost links don't burden other instances.
func TestRefusalsOfServersThatAreReachedAreNotRerouted(t *testing.T) {
	s, p := newReroutingSystem(t)
	s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
		return nil, shed(server)
	}
	_, err := s.forwardRequest(t.Context(), "17")
	require.Error(t, err)
	s.setServers()
	_, err = s.forwardRequest(t.Context(), "17")
	require.Error(t, err)
	require.Empty(t, p.requests)
}

// Guards against requests that are blocked because an instance lost its own links.
func TestLostLinksAreNoCrashes(t *testing.T) {
	for _, isDoubtful := range []bool{false, true} {
		s, p := newReroutingSystem(t)
		p.isDoubtful = isDoubtful
		s.serversCrash.Store(true)
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			return nil, connectionLost(server)
		}
		_, err := s.forwardRequest(t.Context(), "17")
		require.Error(t, err)
		s.Wait()
		require.Equal(t, isDoubtful, len(s.broadcasts) == 0)
	}
}

// A request that is not answered for long is a sign of a lost link before it ends.
func TestSilenceIsASignOfALostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := newReroutingSystem(t)
		s.callerTimeout = 20 * time.Second
		s.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			time.Sleep(10 * time.Second)
			return soundAnswer(server, request), nil
		}
		go func() { _, _ = s.forwardRequest(t.Context(), "17") }()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1, p.failures)
		time.Sleep(time.Minute)
	})
}

var _ forwarder.Rerouter = (*peer)(nil)
