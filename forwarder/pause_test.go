package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
)

// Guards against callers that wait, or come back too early, when all servers of a service
// want no requests for a while: each is refused at once and told when the first returns, and
// they return at different times.
func TestCallersAreToldWhenTheFirstPausingServerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		now := time.Now()
		first := now.Add(3 * time.Second)
		for i, id := range []string{"n-1", "n-2", "s-1", "s-2"} {
			s.registrar.Find(id).Pause(first.Add(time.Duration(i) * time.Second))
		}
		retries := map[time.Time]bool{}
		for range 50 {
			_, err := s.forwardRequest(t.Context(), "17")
			var notRun *pollencrank.NotRunError
			require.ErrorAs(t, err, &notRun)
			require.Equal(t, pollencrank.ReasonServerPaused, notRun.Reason)
			require.False(t, notRun.RetryAt.Before(first))
			require.True(t, notRun.RetryAt.Before(first.Add(first.Sub(now))))
			retries[notRun.RetryAt] = true
		}
		require.Equal(t, now, time.Now(), "nothing waits")
		require.Empty(t, s.sender.sent)
		require.Greater(t, len(retries), 25)

		time.Sleep(time.Until(first))
		_, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
		require.Equal(t, []string{"n-1"}, s.sender.sent)
	})
}

// Guards against a server that counts as bad because it asks for a pause: one that sheds
// without asking for one does.
func TestAPauseIsNotAFailure(t *testing.T) {
	for name, pause := range map[string]time.Duration{"shed": 0, "pause": time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.setServers(server("n-1", "north"))
			s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
				err := pollencrank.NotRun(pollencrank.ReasonAllShed, "server %s is full", server)
				if pause > 0 {
					err.RetryAt = time.Now().Add(pause)
				}
				return nil, err
			}
			_, err := s.forwardRequest(t.Context(), "17")
			require.Error(t, err)
			require.Equal(t, pause == 0, s.registrar.Find("n-1").Health(time.Now()).FailureShare > 0)
		})
	}
}
