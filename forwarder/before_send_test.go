package forwarder_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
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
