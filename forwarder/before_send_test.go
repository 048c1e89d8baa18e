package forwarder_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against attempts beyond a quota: each has to pass the check that the call carries.
func TestEachAttemptPassesTheCheckBeforeIt(t *testing.T) {
	spent := pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "spent")
	for _, test := range []struct {
		allowed, sent int
		reply         func(string) error
		reason        pollencrank.Reason
	}{
		{allowed: 0, sent: 0, reply: shed, reason: pollencrank.ReasonQuotaSpent},
		{allowed: 1, sent: 1, reply: shed, reason: pollencrank.ReasonQuotaSpent},
		{allowed: 1, sent: 1, reply: connectionLost, reason: pollencrank.ReasonServerFailed},
		{allowed: 2, sent: 2, reply: shed, reason: pollencrank.ReasonAllShed},
	} {
		s := newSystem(t)
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			return nil, test.reply(server)
		}
		checks := 0
		call := s.newCall("request-1", "17", "/x")
		call.BeforeSend = func(context.Context) error {
			checks++
			if checks > test.allowed {
				return spent
			}
			return nil
		}
		_, err := s.Forward(t.Context(), call)
		require.ErrorContains(t, err, string(test.reason))
		require.Len(t, s.sender.sent, test.sent)
	}
}

// Guards against a refusal that says a request was not run that may have run.
func TestARefusedRepeatLeavesTheOutcomeUnknown(t *testing.T) {
	for _, kind := range []router.Kind{router.Idempotent, router.NonIdempotent} {
		s := newSystem(t)
		s.route.Kind = kind
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			return nil, connectionLost(server)
		}
		call := s.newCall("request-1", "17", "/x")
		call.BeforeSend = func(context.Context) error {
			if len(s.sender.sent) > 0 {
				return pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "spent")
			}
			return nil
		}
		_, err := s.Forward(t.Context(), call)
		var unknown *pollencrank.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown, kind)
		require.Len(t, s.sender.sent, 1)

		s, p := newReroutingSystem(t)
		s.route.Kind = kind
		p.isCutOff = true
		p.err = connectionLost("entry-2")
		call = s.newCall("request-2", "17", "/x")
		until, sends := time.Now().Add(time.Minute), 0
		call.TokenUntil = func() time.Time { return until }
		call.BeforeSend = func(context.Context) error {
			sends++
			if sends > 1 {
				return pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "spent")
			}
			return nil
		}
		_, err = s.Forward(t.Context(), call)
		require.ErrorAs(t, err, &unknown, kind)
		require.Len(t, p.requests, 1)
		require.Equal(t, until, p.requests[0].Hop.TokenUntil)
	}
}

// Guards against a request that is sent although its deadline has passed while it waited for
// a token.
func TestTheDeadlineMayPassBeforeARequestIsSent(t *testing.T) {
	s := newSystem(t)
	call := s.newCall("request-1", "17", "/x")
	call.BeforeSend = func(context.Context) error {
		call.Request.Deadline = time.Now()
		return nil
	}
	_, err := s.Forward(t.Context(), call)
	require.ErrorContains(t, err, string(pollencrank.ReasonDeadlinePassed))
	require.Empty(t, s.sender.sent)
}
